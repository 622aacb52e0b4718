#include "control/dns/snapshot.h"

#include <nlohmann/json.hpp>

namespace myrtlehead::dns_discovery {

namespace {

using endpoint_merge::Snapshot;
using nlohmann::json;

constexpr Nanoseconds kMaxTime = 36'600 * (86'400 * kSecond); // Unix time

// Converts times between the instance's clock and Unix milliseconds. 0 is "long ago" or "never" on both
// sides.
struct ClockConverter {
  Nanoseconds unixAtZero;
  std::int64_t toUnix(Nanoseconds time) const { return time == 0 ? 0 : (time + unixAtZero) / kMillisecond; }
  // Throws std::out_of_range.
  Nanoseconds fromUnix(const json &value) const {
    const auto milliseconds = value.get<std::int64_t>();
    if (milliseconds < 0 || milliseconds > kMaxTime / kMillisecond) throw std::out_of_range("time");
    return milliseconds == 0 ? 0 : milliseconds * kMillisecond - unixAtZero;
  }
  // The start of an endpoint: one before this clock's zero counts as long ago.
  Nanoseconds startFromUnix(const json &value) const { return std::max<Nanoseconds>(fromUnix(value), 0); }
};

json encodeEntry(const endpoint_merge::Entry &entry, const ClockConverter &clock) {
  const auto &info = entry.info;
  return {{"name", entry.name},
          {"address", entry.address},
          {"build", info.build},
          {"zone", info.zone},
          {"cell", info.cell},
          {"start", clock.toUnix(info.startedAt)},
          {"drains", info.state == EndpointState::draining}};
}

endpoint_merge::Entry decodeEntry(const json &value, const ClockConverter &clock) {
  endpoint_merge::Entry entry{value.at("name"), value.at("address"), {}};
  entry.info.build = value.at("build");
  entry.info.zone = value.at("zone");
  entry.info.cell = value.at("cell");
  entry.info.startedAt = clock.startFromUnix(value.at("start"));
  entry.info.state = value.at("drains").get<bool>() ? EndpointState::draining : EndpointState::ready;
  return entry;
}

json encodeSet(const Snapshot::RecordSet &set, const ClockConverter &clock) {
  json targets = json::array();
  for (const auto &saved : set.targets) {
    const auto &target = saved.target;
    targets.push_back(
        {target.host, target.port, target.priority, target.weight, clock.toUnix(saved.removedAt)});
  }
  return {{"name", set.name},
          {"good_at", clock.toUnix(set.answeredAt)},
          {"good_until", clock.toUnix(set.validUntil)},
          {"servers", std::move(targets)}};
}

Snapshot::RecordSet decodeSet(const json &value, const ClockConverter &clock) {
  Snapshot::RecordSet set;
  set.name = value.at("name");
  set.answeredAt = clock.fromUnix(value.at("good_at"));
  set.validUntil = clock.fromUnix(value.at("good_until"));
  for (const auto &saved : value.at("servers")) {
    const endpoint_merge::Target target{saved.at(0), saved.at(1), saved.at(2), saved.at(3)};
    set.targets.push_back({target, clock.fromUnix(saved.at(4))});
  }
  return set;
}

json encodeTimes(const std::vector<std::pair<std::string, Nanoseconds>> &times, const ClockConverter &clock) {
  json out = json::array();
  for (const auto &[address, time] : times) out.push_back({address, clock.toUnix(time)});
  return out;
}

// Whether the sizes are such as this program writes.
bool hasBoundedSize(const Snapshot &snapshot) {
  using endpoint_merge::kMaxEndpoints;
  std::size_t targets = 0;
  for (const auto &set : snapshot.sets) targets += set.targets.size();
  return targets <= 2 * kMaxEndpoints && snapshot.hosts.size() <= 2 * kMaxEndpoints &&
         snapshot.departed.size() <= kMaxEndpoints && snapshot.starts.size() <= kMaxEndpoints;
}

Snapshot decode(const json &in, const ClockConverter &clock) {
  Snapshot out;
  for (const auto &set : in.at("sets")) out.sets.push_back(decodeSet(set, clock));
  for (const auto &host : in.at("hosts"))
    out.hosts.push_back({host.at(0), host.at(1).get<std::vector<std::string>>(), host.at(2)});
  for (const auto &entry : in.at("listed")) out.listed.push_back(decodeEntry(entry, clock));
  for (const auto &departed : in.at("departed"))
    out.departed.emplace_back(departed.at(0), clock.fromUnix(departed.at(1)));
  for (const auto &start : in.at("starts"))
    out.starts.emplace_back(start.at(0), clock.startFromUnix(start.at(1)));
  return out;
}

} // namespace

std::string encodeSnapshot(const Snapshot &snapshot, Nanoseconds unixAtZero, Nanoseconds now) {
  const ClockConverter clock{unixAtZero};
  json sets = json::array();
  json hosts = json::array();
  json listed = json::array();
  for (const auto &set : snapshot.sets) sets.push_back(encodeSet(set, clock));
  for (const auto &host : snapshot.hosts) hosts.push_back({host.name, host.addresses, host.release});
  for (const auto &entry : snapshot.listed) listed.push_back(encodeEntry(entry, clock));
  return json{{"saved", clock.toUnix(now)},
              {"sets", std::move(sets)},
              {"hosts", std::move(hosts)},
              {"listed", std::move(listed)},
              {"departed", encodeTimes(snapshot.departed, clock)},
              {"starts", encodeTimes(snapshot.starts, clock)}}
      .dump();
}

std::optional<DecodedSnapshot> decodeSnapshot(const std::string &text, Nanoseconds unixAtZero) {
  const ClockConverter clock{unixAtZero};
  try {
    const auto in = json::parse(text);
    DecodedSnapshot out;
    out.savedAt = clock.fromUnix(in.at("saved"));
    out.snapshot = decode(in, clock);
    if (!hasBoundedSize(out.snapshot)) return std::nullopt;
    return out;
  } catch (const std::exception &) { // nlohmann's own, and std::out_of_range
    return std::nullopt;
  }
}

} // namespace myrtlehead::dns_discovery
