// The server side of one HTTP/1.1 connection with pipelining. Requests are handled concurrently, so a request
// that waits for the disk or for other members does not delay the handling of later requests. Responses are
// written in the order of the requests.
#pragma once

#include "cluster/http_message.h"

#include <functional>
#include <memory>

namespace myrtlehead::cluster {

using HttpHandler = std::function<net::Task<HttpResponse>(HttpRequest)>;

// Returns a response whose body is a JSON object with the member "error".
HttpResponse httpError(int status, const char *reason);

// Serves the connection until no further request will be read; responses may still be written after that. An
// invalid request is answered with status 400 and ends the connection. `handler` must outlive the connection.
net::Task<> serveHttpConnection(net::Scheduler &sched, std::unique_ptr<net::Socket> socket,
                                const HttpHandler &handler);

} // namespace myrtlehead::cluster
