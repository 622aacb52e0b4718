// The server's side of one HTTP/1.1 connection, with pipelining: requests are read one after the other and
// answered in that order, but handled concurrently, so that one that waits for the disk or for other members
// delays the handling of none behind it.
#pragma once

#include "cluster/http_message.h"

#include <functional>
#include <memory>

namespace myrtlehead::cluster {

using HttpHandler = std::function<net::Task<HttpResponse>(HttpRequest)>;

HttpResponse httpError(int status, const char *reason);

// Returns once no further request is read; responses may still be written then. A request that can't be read
// is answered with 400 and ends the connection. `handler` must outlive the connection.
net::Task<> serveHttpConnection(net::Scheduler &sched, std::unique_ptr<net::Socket> socket,
                                const HttpHandler &handler);

} // namespace myrtlehead::cluster
