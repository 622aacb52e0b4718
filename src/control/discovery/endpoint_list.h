// Codec of discovery's JSON: the whole endpoint list, or the entries that have changed.
#pragma once

#include "format/json/json.h"
#include "router/router.h"

#include <variant>

namespace myrtlehead::discovery {

// One message of a watch, or the answer to a poll.
struct EndpointListMessage {
  std::uint64_t index = 0;      // discovery's version of the list; a later watch continues from it
  bool isSnapshot = false;      // the whole list: endpoints that it lacks are gone
  std::vector<Entry> endpoints; // all of them, or those that have changed
};

enum class ListError {
  noIndex,
  noSnapshotFlag,
  noEndpoints,
  entryWithoutName,
  unknownStatus,
  entryWithoutAddress,
  unreadableAddress,
  entryWithoutBuild,
  startTimeOutOfRange
};
const char *describe(ListError error);

// Reads a list. `zones`: the names of the zones, whose positions stand for them in the result; an unknown
// name reads as one past the last. `unixAtZero`: the Unix time, in ns, at which the instance's clock read 0.
std::variant<EndpointListMessage, ListError>
decodeEndpointList(const json::Value &in, const std::vector<std::string> &zones, Nanoseconds unixAtZero);

} // namespace myrtlehead::discovery
