#include "keyring_type.h"

#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace hawthorncroft {

struct Mac::State {
    EVP_MAC* algorithm {};
    EVP_MAC_CTX* context {}; ///< Reinitialised for each message, keeping its key.

    ~State()
    {
        EVP_MAC_CTX_free(context);
        EVP_MAC_free(algorithm);
    }
};

Mac::Mac(const MacKey& key)
    : m_state(std::make_unique<State>())
{
    m_state->algorithm = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    if (!m_state->algorithm)
        throw std::runtime_error("OpenSSL does not provide SIPHASH");
    m_state->context = EVP_MAC_CTX_new(m_state->algorithm);
    std::size_t tagBytes = sizeof(std::uint64_t);
    OSSL_PARAM params[] = { OSSL_PARAM_construct_size_t("size", &tagBytes), OSSL_PARAM_construct_end() };
    if (!m_state->context || !EVP_MAC_init(m_state->context, key.data(), key.size(), params))
        throw std::runtime_error("OpenSSL cannot initialise SIPHASH");
}

Mac::~Mac() = default;
Mac::Mac(Mac&&) noexcept = default;
Mac& Mac::operator=(Mac&&) noexcept = default;

std::uint64_t Mac::compute(std::span<const std::uint8_t> message) const
{
    std::uint8_t tag[sizeof(std::uint64_t)] {};
    std::size_t tagBytes = 0;
    bool done = EVP_MAC_init(m_state->context, nullptr, 0, nullptr)
        && EVP_MAC_update(m_state->context, message.data(), message.size())
        && EVP_MAC_final(m_state->context, tag, &tagBytes, sizeof(tag)) && tagBytes == sizeof(tag);
    if (!done)
        throw std::runtime_error("OpenSSL failed to compute SIPHASH");
    std::uint64_t value = 0;
    std::memcpy(&value, tag, sizeof(value));
    return value;
}

void Keyring::add(KeyId id, const MacKey& key)
{
    auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& e) { return e.id == id; });
    if (entry != m_entries.end())
        entry->mac = Mac(key);
    else
        m_entries.push_back({ .id = id, .mac = Mac(key) });
    if (!m_signing)
        m_signing = id;
}

bool Keyring::setSigning(KeyId id)
{
    bool isPresent = std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry& e) { return e.id == id; });
    if (isPresent)
        m_signing = id;
    return isPresent;
}

void Keyring::setAccepted(std::vector<KeyId> ids)
{
    for (auto& entry : m_entries)
        entry.accepted = ids.empty() || std::find(ids.begin(), ids.end(), entry.id) != ids.end();
}

const Mac* Keyring::find(KeyId id) const
{
    for (const auto& entry : m_entries) {
        if (entry.id == id)
            return entry.accepted ? &entry.mac : nullptr;
    }
    return nullptr;
}

} // namespace hawthorncroft
