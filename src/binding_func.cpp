#include "binding_func.h"

#include <array>
#include <bit>
#include <cstring>

namespace hawthorncroft {

static_assert(std::endian::native == std::endian::little, "MACs are computed over little-endian fields");

namespace {

    /** MAC input: concatenated fields of fixed size, so that different bindings never have the same bytes. */
    class FieldBytes {
    public:
        template <typename Value> void add(Value value)
        {
            std::memcpy(m_bytes.data() + m_size, &value, sizeof(value));
            m_size += sizeof(value);
        }

        std::span<const std::uint8_t> bytes() const { return { m_bytes.data(), m_size }; }

    private:
        std::array<std::uint8_t, 96> m_bytes {};
        std::size_t m_size {};
    };

    std::uint64_t macOf(const Mac& mac, const FlowKey& key, const Binding& binding)
    {
        FieldBytes fields;
        fields.add(key.caller.value);
        fields.add(key.flow.value);
        fields.add(binding.service.value);
        fields.add(binding.target.value);
        fields.add(binding.targetIncarnation.value);
        fields.add(binding.agentIncarnation.value);
        fields.add(binding.agent.address);
        fields.add(binding.agent.port);
        fields.add(binding.reservation.value);
        fields.add(binding.expiresAt.us);
        fields.add(binding.revision.value);
        fields.add(binding.key.value);
        return mac.compute(fields.bytes());
    }

}

void signBinding(const Keyring& keyring, const FlowKey& key, Binding& binding)
{
    binding.key = keyring.signing();
    if (const Mac* mac = keyring.find(binding.key))
        binding.mac = macOf(*mac, key, binding);
}

bool isAuthentic(const Keyring& keyring, const FlowKey& key, const Binding& binding)
{
    const Mac* mac = keyring.find(binding.key);
    return mac && macOf(*mac, key, binding) == binding.mac;
}

} // namespace hawthorncroft
