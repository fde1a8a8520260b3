/**
 * @file ctl_page.h
 * Requests of pages from the status addresses of processes for the platform, which serve plain HTTP.
 */
#pragma once

#include "core_type.h"

namespace hawthorncroft {

/** Response to a request of a page. */
struct PageResult {
    std::string error; ///< Empty if a response was received.
    unsigned status {};
    std::string body;
};

/**
 * Requests a page and waits for the response.
 * @param at Status address.
 * @param target Path and query string.
 * @param timeout Time limit for connection and response together.
 */
PageResult fetchPage(Endpoint at, const std::string& target, Duration timeout);

} // namespace hawthorncroft
