// The `resolve` sub-command looks up SRV names once and prints the endpoints that an instance would use.
#pragma once

#include "app/output_format.h"
#include "base/log/log.h"
#include "base/net/socket.h"

#include <string>
#include <vector>

namespace myrtlehead::app {

// Prints the endpoints with their remaining TTLs and sources, as a table or as JSON. `timeout`, in
// nanoseconds, limits all look-ups together. Returns the exit code: 0 if there are endpoints, otherwise 1,
// and the causes of failed look-ups are printed.
int resolve(const std::vector<std::string> &names, const std::vector<net::Address> &servers,
            sched::Nanoseconds timeout, OutputFormat format, log::Levels levels);

} // namespace myrtlehead::app
