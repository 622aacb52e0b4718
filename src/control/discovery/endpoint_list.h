// Decodes the JSON messages of discovery: the whole endpoint list, or the entries that have changed.
#pragma once

#include "format/json/json.h"
#include "router/router.h"

#include <variant>

namespace myrtlehead::discovery {

// One message of a watch, or the answer to a poll. Not to be confused with endpoint_merge::EndpointList,
// which keeps the latest entries.
struct EndpointListMessage {
  std::uint64_t index = 0;      // discovery's version of the list; a later watch resumes from it
  bool isSnapshot = false;      // whether it is the whole list, so that endpoints missing from it are removed
  std::vector<Entry> endpoints; // all endpoints, or only those that have changed
};

// Why a message is not a valid endpoint list.
enum class ListError {
  noIndex,
  noSnapshotFlag,
  noEndpoints,
  entryWithoutName,
  unknownStatus,
  entryWithoutAddress,
  invalidAddress,
  entryWithoutBuild,
  startTimeOutOfRange
};
// Returns which field is wrong and what is expected.
const char *describe(ListError error);

// Decodes a list. `zones`: the zone names; the result has the index of each endpoint's zone in it, or
// zones.size() if the zone is unknown. `unixAtZero`: Unix time, in nanoseconds, at which the instance's clock
// read 0.
std::variant<EndpointListMessage, ListError>
decodeEndpointList(const json::Value &in, const std::vector<std::string> &zones, Nanoseconds unixAtZero);

} // namespace myrtlehead::discovery
