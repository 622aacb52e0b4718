#include "follow/names/snapshot.h"

#include <nlohmann/json.hpp>

namespace myrtlehead::names {

namespace {

using nlohmann::json;
using sources::Past;

constexpr Ns kLongest = 36'600 * (86'400 * kSec);

// A time of nought stands for long ago, or never, on both sides.
struct Clock {
  Ns unixAtZero;
  std::int64_t out(Ns t) const { return t == 0 ? 0 : (t + unixAtZero) / kMs; }
  Ns in(const json &v) const {
    const auto ms = v.get<std::int64_t>();
    if (ms < 0 || ms > kLongest / kMs) throw std::out_of_range("time");
    return ms == 0 ? 0 : ms * kMs - unixAtZero;
  }
  // For a start, which the guard takes for long ago where it lies before this clock's nought.
  Ns start(const json &v) const { return std::max<Ns>(in(v), 0); }
};

json entryOut(const sources::Entry &e, const Clock &clock) {
  const auto &l = e.listing;
  return {{"name", e.name},
          {"address", e.address},
          {"build", l.build},
          {"zone", l.zone},
          {"cell", l.cell},
          {"start", clock.out(l.start)},
          {"drains", l.mode == Mode::draining}};
}

sources::Entry entryIn(const json &v, const Clock &clock) {
  sources::Entry e{v.at("name"), v.at("address"), {}};
  e.listing.build = v.at("build");
  e.listing.zone = v.at("zone");
  e.listing.cell = v.at("cell");
  e.listing.start = clock.start(v.at("start"));
  e.listing.mode = v.at("drains").get<bool>() ? Mode::draining : Mode::ready;
  return e;
}

json setOut(const Past::Set &set, const Clock &clock) {
  json servers = json::array();
  for (const auto &s : set.servers)
    servers.push_back(
        {s.target.host, s.target.port, s.target.priority, s.target.weight, clock.out(s.goneAt)});
  return {{"name", set.name},
          {"good_at", clock.out(set.goodAt)},
          {"good_until", clock.out(set.goodUntil)},
          {"servers", std::move(servers)}};
}

Past::Set setIn(const json &v, const Clock &clock) {
  Past::Set set{v.at("name"), clock.in(v.at("good_at")), clock.in(v.at("good_until")), {}};
  for (const auto &s : v.at("servers"))
    set.servers.push_back({{s.at(0), s.at(1), s.at(2), s.at(3)}, clock.in(s.at(4))});
  return set;
}

json timesOut(const std::vector<std::pair<std::string, Ns>> &times, const Clock &clock) {
  json out = json::array();
  for (const auto &[address, at] : times) out.push_back({address, clock.out(at)});
  return out;
}

bool bounded(const Past &past) {
  std::size_t servers = 0;
  for (const auto &set : past.sets) servers += set.servers.size();
  return servers <= 2 * sources::kMostServers && past.hosts.size() <= 2 * sources::kMostServers &&
         past.departed.size() <= sources::kMostServers && past.starts.size() <= sources::kMostServers;
}

} // namespace

std::string writePast(const Past &past, Ns unixAtZero, Ns now) {
  const Clock clock{unixAtZero};
  json sets = json::array(), hosts = json::array(), listed = json::array();
  for (const auto &set : past.sets) sets.push_back(setOut(set, clock));
  for (const auto &h : past.hosts) hosts.push_back({h.name, h.addresses, h.release});
  for (const auto &e : past.listed) listed.push_back(entryOut(e, clock));
  return json{{"saved", clock.out(now)},
              {"sets", std::move(sets)},
              {"hosts", std::move(hosts)},
              {"listed", std::move(listed)},
              {"departed", timesOut(past.departed, clock)},
              {"starts", timesOut(past.starts, clock)}}
      .dump();
}

std::optional<Past> readPast(const std::string &text, Ns unixAtZero, Ns &savedAt) {
  const Clock clock{unixAtZero};
  try {
    const auto in = json::parse(text);
    Past out;
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

} // namespace myrtlehead::names
