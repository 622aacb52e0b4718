// The HTTP messages that members exchange with each other and with clients.
#pragma once

#include "base/http_client/persistent_connection.h"

#include <string>

namespace myrtlehead::cluster {

struct HttpRequest {
  std::string method;
  std::string target;
  std::string body;
};

using HttpResponse = http_client::Response; // a status and a body

} // namespace myrtlehead::cluster
