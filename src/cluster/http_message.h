// HTTP messages as members and clients exchange them.
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
