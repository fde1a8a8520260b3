/**
 * @file keyring_type.h
 * Secret keys by ID. The settings provide the keys; the configuration selects the accepted keys and the signing key.
 */
#pragma once

#include "core_type.h"

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace hawthorncroft {

inline constexpr std::size_t macKeyBytes = 16; ///< Key size of SipHash.
using MacKey = std::array<std::uint8_t, macKeyBytes>;

/** SipHash-2-4 with a key. The keyed state is initialised once and reused for each message. */
class Mac {
public:
    explicit Mac(const MacKey& key);
    ~Mac();
    Mac(Mac&&) noexcept;
    Mac& operator=(Mac&&) noexcept;
    Mac(const Mac&) = delete;
    Mac& operator=(const Mac&) = delete;

    /**
     * Computes the MAC of a message.
     * @param message The bytes.
     * @return 64-bit tag.
     * @throws std::runtime_error When OpenSSL fails.
     */
    std::uint64_t compute(std::span<const std::uint8_t> message) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** Keys of a process. Not thread-safe. */
class Keyring {
public:
    /**
     * Adds a key or replaces the one with the same ID. The first key added becomes the signing key.
     * @param id ID of the key, not zero.
     * @param key The secret.
     */
    void add(KeyId id, const MacKey& key);

    /**
     * Selects the signing key. Has no effect when the keyring does not contain the key.
     * @param id ID of the key.
     * @return Whether the keyring contains the key.
     */
    bool setSigning(KeyId id);

    /**
     * Restricts the keys that are accepted. An empty list accepts all keys of the keyring.
     * @param ids IDs of the keys.
     */
    void setAccepted(std::vector<KeyId> ids);

    /** @return ID of the signing key; zero when there is none. */
    KeyId signing() const { return m_signing; }

    /**
     * Finds a key to verify or compute a MAC.
     * @param id ID of the key.
     * @return The MAC state of the key, or null when the keyring does not contain or not accept the key.
     */
    const Mac* find(KeyId id) const;

private:
    struct Entry {
        KeyId id;
        Mac mac;
        bool accepted { true };
    };

    std::vector<Entry> m_entries; ///< Searched linearly, since there are few keys.
    KeyId m_signing;
};

} // namespace hawthorncroft
