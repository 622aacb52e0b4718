#include "follow/catalog/listing.h"

#include "base/net/socket.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead::catalog {

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

bool readMode(const std::string &status, Mode &out) {
  if (status == "in_service") return out = Mode::ready, true;
  if (status == "terminating") return out = Mode::draining, true;
  return out = Mode::gone, status == "terminated";
}

const char *readEntry(const Value &in, const std::vector<std::string> &zones, Ns unixAtZero, Entry &out) {
  std::string status, zone;
  double build = 0, since = 0, group = 0;
  if (!text(in, "name", out.name) || out.name.empty()) return "an entry without a name";
  if (!text(in, "status", status) || !readMode(status, out.listing.mode)) return "an unknown status";
  const bool gone = out.listing.mode == Mode::gone;
  if (!text(in, "address", out.address) && !gone) return "an entry without an address";
  if (!gone && !net::parseAddress(out.address)) return "an address that can't be read";
  if (!number(in, "release", 0, 65535, build) && !gone) return "an entry without a release";
  number(in, "group", 0, 65535, group);
  if (in.find("since_ms") != nullptr && !number(in, "since_ms", 0, 1e13, since))
    return "a start out of range";
  if (text(in, "zone", zone)) {
    const auto at = std::find(zones.begin(), zones.end(), zone);
    out.listing.zone = static_cast<int>(at - zones.begin());
  }
  out.listing.build = static_cast<int>(build);
  out.listing.cell = static_cast<int>(group);
  // 0 stands for long ago, as does a start before the marshal's clock began.
  if (since > 0) out.listing.start = std::max<Ns>(static_cast<Ns>(since) * kMs - unixAtZero, 0);
  return nullptr;
}

} // namespace

std::optional<List> readList(const Value &in, const std::vector<std::string> &zones, Ns unixAtZero,
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

} // namespace myrtlehead::catalog
