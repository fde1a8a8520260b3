/**
 * @file binding_func.h
 * Signing and verification of bindings.
 */
#pragma once

#include "keyring_type.h"
#include "packet_type.h"

namespace hawthorncroft {

/**
 * Signs a binding with the keyring's signing key.
 * @param keyring The keys; without an accepted signing key the MAC is left unchanged.
 * @param key The flow that the binding is for.
 * @param[in,out] binding The binding; its key ID and MAC are set.
 */
void signBinding(const Keyring& keyring, const FlowKey& key, Binding& binding);

/**
 * Verifies the MAC of a binding. Does not check its expiry or its target.
 * @param keyring The keys.
 * @param key The flow of the packet that carries the binding.
 * @param binding The binding.
 * @return Whether the binding was issued for this flow by an agent that has an accepted key.
 */
bool isAuthentic(const Keyring& keyring, const FlowKey& key, const Binding& binding);

} // namespace hawthorncroft
