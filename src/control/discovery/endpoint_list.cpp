#include "control/discovery/endpoint_list.h"

#include "base/net/socket.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead::discovery {

namespace {

using json::Value;

constexpr double kMaxIndex = 9e15; // a double represents every integer up to this value
constexpr double kMaxBuild = 65535;
constexpr double kMaxCell = 65535;
constexpr double kMaxStartTimeMilliseconds = 1e13;

// Returns the integer part of a number in [least, most]; nullopt if the field is absent, not a number or out
// of range.
std::optional<double> readNumber(const Value &in, const char *name, double least, double most) {
  const auto *value = in.find(name);
  if (value == nullptr || value->kind != Value::number) return std::nullopt;
  if (value->numberValue < least || value->numberValue > most) return std::nullopt;
  return std::floor(value->numberValue);
}

std::optional<std::string> readText(const Value &in, const char *name) {
  const auto *value = in.find(name);
  if (value == nullptr || value->kind != Value::string) return std::nullopt;
  return value->text;
}

std::optional<EndpointState> readState(const Value &in) {
  const auto status = readText(in, "status");
  if (status == "in_service") return EndpointState::ready;
  if (status == "terminating") return EndpointState::draining;
  if (status == "terminated") return EndpointState::gone;
  return std::nullopt;
}

// An endpoint that is gone needs neither an address nor a build.
std::optional<ListError> readAddress(const Value &in, Entry &out) {
  const bool isGone = out.info.state == EndpointState::gone;
  const auto address = readText(in, "address");
  if (!address && !isGone) return ListError::entryWithoutAddress;
  out.address = address.value_or("");
  if (!isGone && !net::parseAddress(out.address)) return ListError::invalidAddress;
  return std::nullopt;
}

std::optional<ListError> readBuild(const Value &in, Entry &out) {
  const auto build = readNumber(in, "release", 0, kMaxBuild);
  if (!build && out.info.state != EndpointState::gone) return ListError::entryWithoutBuild;
  out.info.build = static_cast<int>(build.value_or(0));
  return std::nullopt;
}

// A start time of 0, or one before the zero of the instance's clock, is decoded as 0, which means "long ago".
std::optional<ListError> readStartTime(const Value &in, Nanoseconds unixAtZero, Entry &out) {
  if (in.find("since_ms") == nullptr) return std::nullopt;
  const auto startTime = readNumber(in, "since_ms", 0, kMaxStartTimeMilliseconds);
  if (!startTime) return ListError::startTimeOutOfRange;
  if (*startTime > 0)
    out.info.startedAt = std::max<Nanoseconds>(
        static_cast<Nanoseconds>(*startTime) * kMillisecond - unixAtZero, 0);
  return std::nullopt;
}

std::optional<ListError> readEntry(const Value &in, const std::vector<std::string> &zones,
                                   Nanoseconds unixAtZero, Entry &out) {
  out.name = readText(in, "name").value_or("");
  if (out.name.empty()) return ListError::entryWithoutName;
  const auto state = readState(in);
  if (!state) return ListError::unknownStatus;
  out.info.state = *state;
  if (const auto error = readAddress(in, out)) return error;
  if (const auto error = readBuild(in, out)) return error;
  if (const auto error = readStartTime(in, unixAtZero, out)) return error;
  out.info.cell = static_cast<int>(readNumber(in, "group", 0, kMaxCell).value_or(0));
  if (const auto zone = readText(in, "zone"))
    out.info.zone = static_cast<int>(std::find(zones.begin(), zones.end(), *zone) - zones.begin());
  return std::nullopt;
}

} // namespace

const char *describe(ListError error) {
  switch (error) {
  case ListError::noIndex:
    return "'index' is missing or not a number from 0 to 9e15";
  case ListError::noSnapshotFlag:
    return "'snapshot' is missing or not a boolean";
  case ListError::noEndpoints:
    return "'endpoints' is missing or not an array";
  case ListError::entryWithoutName:
    return "the 'name' of an entry is missing, empty or not a string";
  case ListError::unknownStatus:
    return "the 'status' of an entry is not in_service, terminating or terminated";
  case ListError::entryWithoutAddress:
    return "the 'address' of an entry is missing or not a string";
  case ListError::invalidAddress:
    return "the 'address' of an entry is not an IP address and port";
  case ListError::entryWithoutBuild:
    return "the 'release' of an entry is missing or not a number from 0 to 65535";
  case ListError::startTimeOutOfRange:
    return "the 'since_ms' of an entry is not a number from 0 to 1e13";
  }
  return "";
}

std::variant<EndpointListMessage, ListError>
decodeEndpointList(const Value &in, const std::vector<std::string> &zones, Nanoseconds unixAtZero) {
  EndpointListMessage out;
  const auto index = readNumber(in, "index", 0, kMaxIndex);
  if (!index) return ListError::noIndex;
  out.index = static_cast<std::uint64_t>(*index);
  const auto *snapshot = in.find("snapshot");
  if (snapshot == nullptr || snapshot->kind != Value::boolean) return ListError::noSnapshotFlag;
  out.isSnapshot = snapshot->boolValue;
  const auto *endpoints = in.find("endpoints");
  if (endpoints == nullptr || endpoints->kind != Value::array) return ListError::noEndpoints;
  for (const auto &item : endpoints->items) {
    Entry entry;
    if (const auto error = readEntry(item, zones, unixAtZero, entry)) return *error;
    out.endpoints.push_back(std::move(entry));
  }
  return out;
}

} // namespace myrtlehead::discovery
