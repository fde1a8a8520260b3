# Every source file, one a line and sorted.

set(CORE_SOURCES
    src/admission_cmd.cpp
    src/admission_query.cpp
    src/agent_core.cpp
    src/agent_event_cmd.cpp
    src/agent_open_cmd.cpp
    src/agent_outcome_cmd.cpp
    src/agent_query.cpp
    src/agent_request_cmd.cpp
    src/agent_stream_cmd.cpp
    src/agent_timer_cmd.cpp
    src/balancer_cmd.cpp
    src/balancer_query.cpp
    src/binding_func.cpp
    src/caller_cmd.cpp
    src/caller_open.cpp
    src/caller_packet.cpp
    src/caller_send.cpp
    src/caller_tick.cpp
    src/codec_func.cpp
    src/config_check.cpp
    src/config_diff.cpp
    src/config_distance.cpp
    src/config_reader.cpp
    src/config_repeated.cpp
    src/config_view.cpp
    src/config_warn.cpp
    src/config_write.cpp
    src/core_func.cpp
    src/dedup_cmd.cpp
    src/keyring_func.cpp
    src/name_sketch_func.cpp
    src/packet_func.cpp
    src/placement_func.cpp
    src/replica_func.cpp
    src/replica_gossip.cpp
    src/replica_peers.cpp
    src/replica_reader.cpp
    src/replica_standing.cpp
    src/replica_store.cpp
    src/target_hint_func.cpp
    src/verdict_func.cpp
)

set(SHELL_SOURCES
    src/agent_report.cpp
    src/agent_thread.cpp
    src/balancer_report.cpp
    src/balancer_thread.cpp
    src/burn_func.cpp
    src/burn_html.cpp
    src/burn_json.cpp
    src/burn_log.cpp
    src/burn_text.cpp
    src/caller_shell.cpp
    src/clock_func.cpp
    src/config_thread.cpp
    src/control_client.cpp
    src/control_func.cpp
    src/control_server.cpp
    src/control_thread.cpp
    src/ctl_burn.cpp
    src/ctl_check.cpp
    src/ctl_diff.cpp
    src/ctl_explain.cpp
    src/ctl_explain_log.cpp
    src/ctl_fetch.cpp
    src/ctl_func.cpp
    src/ctl_metrics.cpp
    src/ctl_names.cpp
    src/ctl_status.cpp
    src/http2_client.cpp
    src/http2_connection.cpp
    src/http2_server.cpp
    src/log_func.cpp
    src/metrics_base.cpp
    src/metrics_thread.cpp
    src/process_report.cpp
    src/report_func.cpp
    src/service_report.cpp
    src/settings_func.cpp
    src/target_feeds.cpp
    src/target_thread.cpp
    src/udp_func.cpp
    src/version_func.cpp
)

set(STANDIN_SOURCES
    standin/demo_judge.cpp
    standin/demo_load.cpp
    standin/demo_plan.cpp
    standin/demo_process.cpp
    standin/demo_script.cpp
    standin/fabric_cmd.cpp
    standin/fabric_control.cpp
    standin/fabric_shell.cpp
    standin/standin_func.cpp
    standin/standin_platform.cpp
    standin/standin_target.cpp
    standin/standin_target_type.cpp
    standin/transit_demo_world.cpp
)

# Transparent flows. Core and shell; the files that other programs use too are compiled into both libraries.
set(TRANSIT_SOURCES
    src/clock_func.cpp
    src/core_func.cpp
    src/placement_func.cpp
    src/transit_admission.cpp
    src/transit_agent_cmd.cpp
    src/transit_agent_message.cpp
    src/transit_agent_queue.cpp
    src/transit_agent_target.cpp
    src/transit_balancer_cmd.cpp
    src/transit_balancer_locate.cpp
    src/transit_balancer_open.cpp
    src/transit_codec_func.cpp
    src/transit_fleet.cpp
    src/transit_health.cpp
    src/transit_http.cpp
    src/transit_locator.cpp
    src/transit_log.cpp
    src/transit_metrics.cpp
    src/transit_placement.cpp
    src/transit_queue.cpp
    src/transit_service_time.cpp
    src/transit_shell.cpp
    src/transit_type.cpp
    src/transit_view_cmd.cpp
    src/transit_view_query.cpp
    src/udp_func.cpp
    src/version_func.cpp
)

set(PLATFORM_SOURCES
    platform/packet_format.cpp
    platform/platform_process.cpp
    platform/platform_settings.cpp
    platform/store_client.cpp
    platform/store_decoder.cpp
)

set(PROGRAMS
    hawthorncroft-agent
    hawthorncroft-balancer
    hawthorncroft-call
    hawthorncroftctl
    standin-demo
    standin-fabric
    standin-platform
    standin-target
    standin-transit-demo
)

set(hawthorncroft-agent_SOURCES
    src/agent_main.cpp
)

set(hawthorncroft-balancer_SOURCES
    src/balancer_main.cpp
)

set(hawthorncroft-call_SOURCES
    src/call_main.cpp
    src/call_options.cpp
)

set(hawthorncroftctl_SOURCES
    src/ctl_main.cpp
)

set(standin-demo_SOURCES
    standin/demo_main.cpp
)

set(standin-fabric_SOURCES
    standin/fabric_main.cpp
)

set(standin-platform_SOURCES
    standin/standin_platform_main.cpp
)

set(standin-target_SOURCES
    standin/standin_target_main.cpp
)

set(standin-transit-demo_SOURCES
    standin/transit_demo_main.cpp
)

set(TEST_SOURCES
    bench/replica_fleet.cpp
    tests/admission_test.cpp
    tests/agent_test.cpp
    tests/balancer_test.cpp
    tests/burn_test.cpp
    tests/caller_test.cpp
    tests/codec_test.cpp
    tests/config_test.cpp
    tests/control_test.cpp
    tests/ctl_fetch_test.cpp
    tests/ctl_test.cpp
    tests/dedup_test.cpp
    tests/demo_test.cpp
    tests/fabric_test.cpp
    tests/fake_fleet.cpp
    tests/fake_policy.cpp
    tests/fake_target.cpp
    tests/fleet_property_test.cpp
    tests/fleet_test.cpp
    tests/hostile_test.cpp
    tests/http2_test.cpp
    tests/main_test.cpp
    tests/metrics_test.cpp
    tests/placement_test.cpp
    tests/platform_test.cpp
    tests/replica_test.cpp
    tests/settings_test.cpp
    tests/standin_test.cpp
    tests/trace_config_test.cpp
    tests/trace_test.cpp
    tests/transit_flow_test.cpp
    tests/transit_load_test.cpp
    tests/transit_sim.cpp
    tests/transit_view_test.cpp
    tests/udp_test.cpp
)

set(BENCHES
    agent-bench
    capacity-bench
    core-bench
    decisions-bench
    loopback-bench
    replica-bench
    transit-bench
    transit-policy-bench
)

set(agent-bench_SOURCES
    bench/agent_bench.cpp
)

set(capacity-bench_SOURCES
    bench/capacity_bench.cpp
)

set(core-bench_SOURCES
    bench/core_bench.cpp
)

set(decisions-bench_SOURCES
    bench/decisions_bench.cpp
    tests/fake_fleet.cpp
    tests/fake_policy.cpp
    tests/fake_target.cpp
)

set(loopback-bench_SOURCES
    bench/loopback_bench.cpp
)

set(replica-bench_SOURCES
    bench/replica_bench.cpp
    bench/replica_fleet.cpp
)

set(transit-bench_SOURCES
    bench/transit_bench.cpp
)

set(transit-policy-bench_SOURCES
    bench/transit_policy_bench.cpp
)
