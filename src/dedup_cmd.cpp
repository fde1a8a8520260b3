#include "dedup_base.h"

namespace hawthorncroft {

FlowBuffers& FlowRecord::ensureBuffers()
{
    if (!buffers)
        buffers = std::make_unique<FlowBuffers>();
    return *buffers;
}

RecordTable::RecordTable()
    : m_wheel(std::make_unique<TimerWheel>())
{
}

RecordTable::~RecordTable() = default;

FlowRecord* RecordTable::find(const FlowKey& key)
{
    auto entry = m_records.find(key);
    return entry == m_records.end() ? nullptr : &entry->second;
}

const FlowRecord* RecordTable::find(const FlowKey& key) const
{
    auto entry = m_records.find(key);
    return entry == m_records.end() ? nullptr : &entry->second;
}

FlowRecord* RecordTable::add(const FlowKey& key)
{
    if (isFull())
        return nullptr;
    FlowRecord& record = m_records[key];
    record.key = key;
    ++countOf(record.state);
    return &record;
}

void RecordTable::setState(FlowRecord& record, FlowState state)
{
    --countOf(record.state);
    record.state = state;
    ++countOf(record.state);
}

void RecordTable::keepAnswer(FlowRecord& record, std::vector<std::uint8_t> payload)
{
    releaseBuffers(record);
    setState(record, FlowState::Answering);
    m_keptAnswerBytes += payload.size();
    if (!payload.empty())
        record.ensureBuffers().payload = std::move(payload);
}

void RecordTable::releaseBuffers(FlowRecord& record)
{
    if (record.buffers && record.state == FlowState::Answering)
        m_keptAnswerBytes -= record.buffers->payload.size();
    record.buffers.reset();
}

void RecordTable::remove(FlowRecord& record)
{
    releaseBuffers(record);
    record.unlink();
    --countOf(record.state);
    FlowKey key = record.key;
    m_records.erase(key);
}

} // namespace hawthorncroft
