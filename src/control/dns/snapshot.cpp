#include "control/dns/snapshot.h"

#include <nlohmann/json.hpp>

namespace myrtlehead::dns_discovery {

namespace {

using endpoint_merge::Snapshot;
using nlohmann::json;

constexpr Nanoseconds kLongest = 36'600 * (86'400 * kSecond);

// A time of nought stands for long ago, or never, on both sides.
struct Clock {
  Nanoseconds unixAtZero;
  std::int64_t out(Nanoseconds t) const { return t == 0 ? 0 : (t + unixAtZero) / kMillisecond; }
  Nanoseconds in(const json &v) const {
    const auto ms = v.get<std::int64_t>();
    if (ms < 0 || ms > kLongest / kMillisecond) throw std::out_of_range("time");
    return ms == 0 ? 0 : ms * kMillisecond - unixAtZero;
  }
  // For a start, which the guard takes for long ago where it lies before this clock's nought.
  Nanoseconds start(const json &v) const { return std::max<Nanoseconds>(in(v), 0); }
};

json entryOut(const endpoint_merge::Entry &e, const Clock &clock) {
  const auto &l = e.info;
  return {{"name", e.name},
          {"address", e.address},
          {"build", l.build},
          {"zone", l.zone},
          {"cell", l.cell},
          {"start", clock.out(l.startedAt)},
          {"drains", l.state == EndpointState::draining}};
}

endpoint_merge::Entry entryIn(const json &v, const Clock &clock) {
  endpoint_merge::Entry e{v.at("name"), v.at("address"), {}};
  e.info.build = v.at("build");
  e.info.zone = v.at("zone");
  e.info.cell = v.at("cell");
  e.info.startedAt = clock.start(v.at("start"));
  e.info.state = v.at("drains").get<bool>() ? EndpointState::draining : EndpointState::ready;
  return e;
}

json setOut(const Snapshot::RecordSet &set, const Clock &clock) {
  json servers = json::array();
  for (const auto &s : set.targets)
    servers.push_back(
        {s.target.host, s.target.port, s.target.priority, s.target.weight, clock.out(s.goneAt)});
  return {{"name", set.name},
          {"good_at", clock.out(set.goodAt)},
          {"good_until", clock.out(set.goodUntil)},
          {"servers", std::move(servers)}};
}

Snapshot::RecordSet setIn(const json &v, const Clock &clock) {
  Snapshot::RecordSet set{v.at("name"), clock.in(v.at("good_at")), clock.in(v.at("good_until")), {}};
  for (const auto &s : v.at("servers"))
    set.targets.push_back({{s.at(0), s.at(1), s.at(2), s.at(3)}, clock.in(s.at(4))});
  return set;
}

json timesOut(const std::vector<std::pair<std::string, Nanoseconds>> &times, const Clock &clock) {
  json out = json::array();
  for (const auto &[address, at] : times) out.push_back({address, clock.out(at)});
  return out;
}

bool bounded(const Snapshot &snapshot) {
  std::size_t servers = 0;
  for (const auto &set : snapshot.sets) servers += set.targets.size();
  return servers <= 2 * endpoint_merge::kMaxEndpoints &&
         snapshot.hosts.size() <= 2 * endpoint_merge::kMaxEndpoints &&
         snapshot.departed.size() <= endpoint_merge::kMaxEndpoints &&
         snapshot.starts.size() <= endpoint_merge::kMaxEndpoints;
}

} // namespace

std::string encodeSnapshot(const Snapshot &snapshot, Nanoseconds unixAtZero, Nanoseconds now) {
  const Clock clock{unixAtZero};
  json sets = json::array(), hosts = json::array(), listed = json::array();
  for (const auto &set : snapshot.sets) sets.push_back(setOut(set, clock));
  for (const auto &h : snapshot.hosts) hosts.push_back({h.name, h.addresses, h.release});
  for (const auto &e : snapshot.listed) listed.push_back(entryOut(e, clock));
  return json{{"saved", clock.out(now)},
              {"sets", std::move(sets)},
              {"hosts", std::move(hosts)},
              {"listed", std::move(listed)},
              {"departed", timesOut(snapshot.departed, clock)},
              {"starts", timesOut(snapshot.starts, clock)}}
      .dump();
}

std::optional<Snapshot> decodeSnapshot(const std::string &text, Nanoseconds unixAtZero,
                                       Nanoseconds &savedAt) {
  const Clock clock{unixAtZero};
  try {
    const auto in = json::parse(text);
    Snapshot out;
    savedAt = clock.in(in.at("saved"));
    for (const auto &set : in.at("sets")) out.sets.push_back(setIn(set, clock));
    for (const auto &h : in.at("hosts"))
      out.hosts.push_back({h.at(0), h.at(1).get<std::vector<std::string>>(), h.at(2)});
    for (const auto &e : in.at("listed")) out.listed.push_back(entryIn(e, clock));
    for (const auto &d : in.at("departed")) out.departed.emplace_back(d.at(0), clock.in(d.at(1)));
    for (const auto &s : in.at("starts")) out.starts.emplace_back(s.at(0), clock.start(s.at(1)));
    if (!bounded(out)) return std::nullopt;
    return out;
  } catch (const std::exception &) { // nlohmann's own, and what a value out of range throws
    return std::nullopt;
  }
}

} // namespace myrtlehead::dns_discovery
