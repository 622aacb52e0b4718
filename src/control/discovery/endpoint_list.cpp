#include "control/discovery/endpoint_list.h"

#include "base/net/socket.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead::discovery {

namespace {

using json::Value;

bool number(const Value &in, const char *name, double least, double most, double &out) {
  const auto *v = in.find(name);
  if (v == nullptr || v->kind != Value::number || v->real < least || v->real > most) return false;
  out = std::floor(v->real);
  return true;
}

bool text(const Value &in, const char *name, std::string &out) {
  const auto *v = in.find(name);
  if (v == nullptr || v->kind != Value::string) return false;
  out = v->text;
  return true;
}

bool readMode(const std::string &status, EndpointState &out) {
  if (status == "in_service") return out = EndpointState::ready, true;
  if (status == "terminating") return out = EndpointState::draining, true;
  return out = EndpointState::gone, status == "terminated";
}

const char *readEntry(const Value &in, const std::vector<std::string> &zones, Nanoseconds unixAtZero,
                      Entry &out) {
  std::string status, zone;
  double build = 0, since = 0, group = 0;
  if (!text(in, "name", out.name) || out.name.empty()) return "an entry without a name";
  if (!text(in, "status", status) || !readMode(status, out.info.state)) return "an unknown status";
  const bool gone = out.info.state == EndpointState::gone;
  if (!text(in, "address", out.address) && !gone) return "an entry without an address";
  if (!gone && !net::parseAddress(out.address)) return "an address that can't be read";
  if (!number(in, "release", 0, 65535, build) && !gone) return "an entry without a release";
  number(in, "group", 0, 65535, group);
  if (in.find("since_ms") != nullptr && !number(in, "since_ms", 0, 1e13, since))
    return "a start out of range";
  if (text(in, "zone", zone)) {
    const auto at = std::find(zones.begin(), zones.end(), zone);
    out.info.zone = static_cast<int>(at - zones.begin());
  }
  out.info.build = static_cast<int>(build);
  out.info.cell = static_cast<int>(group);
  // 0 stands for long ago, as does a start before the instance's clock began.
  if (since > 0)
    out.info.startedAt = std::max<Nanoseconds>(static_cast<Nanoseconds>(since) * kMillisecond - unixAtZero,
                                               0);
  return nullptr;
}

} // namespace

std::optional<List> readList(const Value &in, const std::vector<std::string> &zones, Nanoseconds unixAtZero,
                             std::string &error) {
  List out;
  double index = 0;
  const auto *whole = in.find("snapshot"), *entries = in.find("endpoints");
  if (!number(in, "index", 0, 9e15, index)) return error = "no index", std::nullopt;
  if (whole == nullptr || whole->kind != Value::boolean) return error = "no snapshot mark", std::nullopt;
  if (entries == nullptr || entries->kind != Value::array) return error = "no endpoints", std::nullopt;
  out.index = static_cast<std::uint64_t>(index);
  out.whole = whole->truth;
  for (const auto &item : entries->items) {
    Entry e;
    if (const auto *fault = readEntry(item, zones, unixAtZero, e)) return error = fault, std::nullopt;
    out.entries.push_back(std::move(e));
  }
  return out;
}

} // namespace myrtlehead::discovery
