// `myrtlehead resolve`: what an instance would make of name records, asked once.
#pragma once

#include "base/log/log.h"
#include "base/net/socket.h"

#include <string>
#include <vector>

namespace myrtlehead::app {

// Writes the servers, their lifetimes and where they come from. 0: some are known; 1: none is, with the
// cause.
int resolve(const std::vector<std::string> &names, const std::vector<net::Address> &servers,
            sched::Nanoseconds within, bool json, log::Levels levels);

} // namespace myrtlehead::app
