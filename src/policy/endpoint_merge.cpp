#include "policy/endpoint_merge.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace myrtlehead::endpoint_merge {

namespace {

constexpr std::size_t kSuddenFrom = 4; // servers; of fewer a loss of half is an ordinary day
constexpr int kNotAvailableAgreeing = 2;
constexpr double kLeastWeight = 0.01; // weight 0 has "a very small chance", RFC 2782

std::string at(const std::string &host, std::uint16_t port) { return host + ":" + std::to_string(port); }

// Guards the memory of departures against addresses that are ever new: the longest unmentioned go.
template <class Map, class Time> void keepLatest(Map &map, std::size_t most, Time time) {
  if (map.size() <= most) return;
  std::vector<Nanoseconds> times;
  for (const auto &[key, value] : map) times.push_back(time(value));
  std::nth_element(times.begin(), times.end() - static_cast<std::ptrdiff_t>(most), times.end());
  const Nanoseconds least = times[times.size() - most];
  std::erase_if(map, [&](const auto &item) { return time(item.second) < least; });
}

} // namespace

int releaseIn(std::string_view text) {
  constexpr std::string_view kKey = "release=";
  while (!text.empty()) {
    const auto end = std::min(text.find(' '), text.size());
    const auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    int release = -1;
    if (!word.starts_with(kKey)) continue;
    const auto r = std::from_chars(word.data() + kKey.size(), word.data() + word.size(), release);
    if (r.ec == std::errc{} && r.ptr == word.data() + word.size() && release >= 0 && release < kUnknownBuild)
      return release;
  }
  return -1;
}

std::size_t EndpointMerge::follow(std::string name, int release, int zone) {
  Set set;
  set.name = std::move(name);
  set.release = release;
  set.zone = zone;
  sets_.push_back(std::move(set));
  return sets_.size() - 1;
}

double EndpointMerge::penalty(const Known &known, Nanoseconds now) const {
  return known.penalty *
         std::exp2(-static_cast<double>(now - known.penaltyAt) / static_cast<double>(prudence_.flapHalfLife));
}

bool EndpointMerge::damped(Known &known, Nanoseconds now) const {
  if (known.dampedSince == 0) return false;
  if (penalty(known, now) < prudence_.flapLeast || now - known.dampedSince >= prudence_.flapLongest) {
    known.dampedSince = 0;
    known.penalty = 0;
  }
  return known.dampedSince != 0;
}

void EndpointMerge::present(Set &set, const Target &target, bool first, Nanoseconds now) {
  hosts_.try_emplace(target.host);
  const auto [at, isNew] = set.targets.try_emplace({target.host, target.port});
  auto &known = at->second;
  known.priority = target.priority;
  known.weight = target.weight;
  known.missing = false;
  if (known.named) return;
  known.named = true;
  known.atFirst = first;
  known.goneAt = 0;
  if (isNew) return;
  known.penalty = penalty(known, now) + 1; // it was here, went and is back
  known.penaltyAt = now;
  if (known.penalty > prudence_.flapMost && known.dampedSince == 0) known.dampedSince = now;
}

void EndpointMerge::depart(Set &set, Nanoseconds now) {
  for (auto &[key, known] : set.targets) {
    if (!known.missing) continue;
    known.missing = known.named = false;
    known.goneAt = now;
  }
  set.lossSince = 0;
  set.lossHeard = 0;
  selected_ = false;
}

void EndpointMerge::believeLoss(Set &set, Word word, Nanoseconds now) {
  const bool all = std::all_of(set.targets.begin(), set.targets.end(),
                               [](const auto &t) { return t.second.missing || !t.second.named; });
  set.denied = all;
  set.lastResortUntil = all && word != Word::notAvailable ? now + staleMost_ : 0;
  depart(set, now);
}

bool EndpointMerge::named(std::size_t number, Word word, const std::vector<Target> &targets,
                          Nanoseconds goodUntil, Nanoseconds now) {
  auto &set = sets_[number];
  if (word == Word::failed) return false;
  const bool first = set.goodAt == 0;
  set.goodAt = now;
  set.goodUntil = goodUntil;
  std::size_t were = 0, missing = 0;
  for (auto &[key, known] : set.targets) were += known.named, known.missing = known.named;
  if (word == Word::records)
    for (const auto &t : targets)
      if (set.targets.size() < kMostServers || set.targets.contains({t.host, t.port}))
        present(set, t, first, now);
  for (const auto &[key, known] : set.targets) missing += known.missing;
  selected_ = false;
  if (word == Word::records) set.denied = false;
  if (missing == 0) {
    set.lossSince = 0;
    set.lossHeard = 0;
    return false;
  }
  const bool sudden = word != Word::records || (were >= kSuddenFrom && 2 * missing > were);
  if (!sudden) {
    depart(set, now);
    return false;
  }
  if (set.lossSince == 0) set.lossSince = now;
  ++set.lossHeard;
  const int needed = word == Word::notAvailable ? kNotAvailableAgreeing : prudence_.agreeing;
  if (set.lossHeard < needed && now - set.lossSince < prudence_.lossHold) return true;
  believeLoss(set, word, now);
  return false;
}

bool EndpointMerge::resolved(const std::string &name, Word word, std::vector<std::string> addresses) {
  const auto it = hosts_.find(name);
  if (it == hosts_.end() || word == Word::failed) return false;
  auto &host = it->second;
  if (word != Word::records) {
    // Guards against one wrong denial: the same care as with a sudden loss.
    if (++host.denials >= prudence_.agreeing) host.addresses.clear();
    return !host.addresses.empty();
  }
  host.denials = 0;
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  if (addresses.size() > kMostAddresses) addresses.resize(kMostAddresses);
  std::vector<std::pair<std::string, bool>> now;
  for (auto &address : addresses) {
    const auto was = std::find_if(host.addresses.begin(), host.addresses.end(),
                                  [&](const auto &a) { return a.first == address; });
    const bool later = was != host.addresses.end() ? was->second : !host.addresses.empty();
    now.emplace_back(std::move(address), later);
  }
  host.addresses.swap(now);
  return false;
}

void EndpointMerge::told(const std::string &name, int release) {
  const auto it = hosts_.find(name);
  if (it != hosts_.end()) it->second.release = release;
}

void EndpointMerge::listed(const std::vector<Entry> &entries, bool whole, Nanoseconds now) {
  listDown_ = false;
  std::set<std::string> said;
  for (const auto &e : entries) {
    said.insert(e.name);
    const auto was = listed_.find(e.name);
    const auto address = e.address.empty() && was != listed_.end() ? was->second.address : e.address;
    if (was != listed_.end() && was->second.address != address) departed_[was->second.address] = now;
    if (e.info.state == EndpointState::gone)
      listed_.erase(e.name);
    else
      listed_[e.name] = {e.name, address, e.info};
    if (e.info.state == EndpointState::ready)
      departed_.erase(address);
    else if (!address.empty())
      departed_[address] = now;
  }
  if (whole)
    std::erase_if(listed_, [&](const auto &item) {
      const bool gone = !said.contains(item.first);
      if (gone) departed_[item.second.address] = now;
      return gone;
    });
  // An address that another name serves at has not departed.
  for (const auto &[name, entry] : listed_)
    if (entry.info.state == EndpointState::ready) departed_.erase(entry.address);
  keepLatest(departed_, kMostServers, [](Nanoseconds t) { return t; });
}

void EndpointMerge::expireHolds(Nanoseconds now) {
  for (auto &set : sets_)
    if (set.lossSince != 0 && now - set.lossSince >= prudence_.lossHold) believeLoss(set, Word::empty, now);
}

// What names go on naming stays out on, be their answer as old as it may.
void EndpointMerge::mentionDeparted(Nanoseconds now) {
  if (departed_.empty()) return;
  for (const auto &set : sets_)
    for (const auto &[key, known] : set.targets) {
      const auto host = known.named ? hosts_.find(key.first) : hosts_.end();
      if (host == hosts_.end()) continue;
      for (const auto &[address, later] : host->second.addresses) {
        const auto gone = departed_.find(at(address, key.second));
        if (gone != departed_.end()) gone->second = now;
      }
    }
}

void EndpointMerge::prune(Nanoseconds now) {
  const Nanoseconds kept = std::max(prudence_.flapLongest, 2 * prudence_.flapHalfLife);
  for (auto &set : sets_) {
    const bool resort = set.denied && now < set.lastResortUntil;
    std::erase_if(set.targets,
                  [&](const auto &t) { return !t.second.named && !resort && now - t.second.goneAt > kept; });
  }
  for (auto &[name, host] : hosts_) host.wanted = false;
  for (const auto &set : sets_)
    for (const auto &[key, known] : set.targets) hosts_[key.first].wanted = true;
  std::erase_if(hosts_, [](const auto &h) { return !h.second.wanted; });
  mentionDeparted(now);
  std::erase_if(departed_, [&](const auto &d) { return now - d.second > prudence_.departedFor; });
  std::erase_if(seen_, [&](const auto &s) { return now - s.second.second > prudence_.departedFor; });
  keepLatest(seen_, kMostServers, [](const auto &s) { return s.second; });
}

void EndpointMerge::selectTargets() {
  if (selected_) return;
  selected_ = true;
  std::vector<std::string> names;
  std::vector<const Key *> keys;
  std::set<Key> all;
  for (const auto &set : sets_)
    for (const auto &[key, known] : set.targets)
      if (known.named && all.insert(key).second)
        keys.push_back(&key), names.push_back(at(key.first, key.second));
  const auto held = subset_.held(names);
  heldTargets_.clear();
  allHeld_ = std::find(held.begin(), held.end(), false) == held.end();
  if (allHeld_) return;
  for (std::size_t i = 0; i < keys.size(); ++i)
    if (held[i]) heldTargets_.insert(*keys[i]);
}

std::vector<EndpointMerge::Wanted> EndpointMerge::hostsWanted() {
  selectTargets();
  std::map<std::string, bool> wanted;
  for (const auto &set : sets_)
    for (const auto &[key, known] : set.targets)
      if (known.named && (allHeld_ || heldTargets_.contains(key))) wanted[key.first] |= set.release < 0;
  std::vector<Wanted> out;
  for (const auto &[host, release] : wanted) out.push_back({host, release});
  return out;
}

void EndpointMerge::offer(const Set &set, const Key &key, const Known &known, Offers &out) {
  const auto &host = hosts_[key.first];
  figures_.unresolved += host.addresses.empty();
  for (const auto &[address, later] : host.addresses) {
    const auto name = host.addresses.size() == 1 ? at(key.first, key.second)
                                                 : at(key.first + "[" + address + "]", key.second);
    const int release = host.release >= 0 ? host.release : set.release;
    const auto [place, isNew] = out.try_emplace(at(address, key.second),
                                                Offer{&set, &known, name, release, later});
    if (isNew) continue;
    ++figures_.twoNames;
    if (known.priority < place->second.known->priority) place->second = {&set, &known, name, release, later};
  }
}

// Usually what is named and neither damped nor expired; as a last resort what has expired or was denied.
EndpointMerge::Offers EndpointMerge::offers(bool lastResort, Nanoseconds now) {
  Offers out;
  for (auto &set : sets_) {
    const bool expired = set.goodUntil != 0 && now - set.goodUntil > staleMost_;
    for (auto &[key, known] : set.targets) {
      const bool denied = set.denied && !known.named && now < set.lastResortUntil;
      const bool resort = denied || (known.named && expired);
      if (lastResort ? !resort && !known.named : resort || !known.named) continue;
      const bool flaps = damped(known, now);
      if (!lastResort) figures_.damped += flaps, figures_.held += known.missing;
      if (flaps && !lastResort) continue;
      if (known.named && !allHeld_ && !heldTargets_.contains(key)) continue;
      offer(set, key, known, out);
    }
  }
  return out;
}

EndpointInfo EndpointMerge::listingOf(const std::string &address, const Offer &offer, Nanoseconds now) {
  const bool later = !offer.known->atFirst || offer.later;
  const auto [seen, first] = seen_.try_emplace(address, later ? now : 0, now);
  seen->second.second = now;
  EndpointInfo out;
  out.build = offer.release >= 0 ? offer.release : kUnknownBuild;
  out.zone = offer.set->zone >= 0 ? offer.set->zone : homeZone_;
  out.startedAt = seen->second.first;
  return out;
}

void EndpointMerge::addListed(const Offers &offers, std::vector<Entry> &out) {
  const bool told = std::any_of(sets_.begin(), sets_.end(), [](const Set &s) { return s.goodAt != 0; });
  std::vector<std::string> alone;
  std::vector<const Entry *> entries;
  for (const auto &[name, entry] : listed_) {
    const bool ready = entry.info.state == EndpointState::ready;
    const auto named = offers.find(entry.address);
    figures_.listed += ready;
    if (named != offers.end()) {
      figures_.twoNames += named->second.name != name;
      figures_.buildsDiffer += named->second.release >= 0 && named->second.release != entry.info.build;
      figures_.drainedButNamed += !ready;
      out.push_back(entry);
    } else {
      figures_.listedNotNamed += ready && told && allHeld_;
      entries.push_back(&entry);
      alone.push_back(entry.address);
    }
  }
  const auto held = listSubset_.held(alone);
  for (std::size_t i = 0; i < alone.size(); ++i)
    if (held[i]) out.push_back(*entries[i]);
}

void EndpointMerge::addNamed(const Offers &offers, std::vector<Entry> &out, Nanoseconds now) {
  std::set<std::string> byList;
  for (const auto &[name, entry] : listed_) byList.insert(entry.address);
  for (const auto &[address, offer] : offers) {
    if (byList.contains(address)) continue;
    const auto gone = departed_.find(address);
    if (gone != departed_.end()) {
      ++figures_.drainedButNamed;
      continue;
    }
    out.push_back({offer.name, address, listingOf(address, offer, now)});
    figures_.unknownBuild += offer.release < 0;
  }
}

// The order of priorities, and weights as parts of the largest in a group.
void EndpointMerge::groups(std::vector<Entry> &out, const Offers &offers) const {
  std::map<int, double> most; // by priority
  for (const auto &e : out)
    if (const auto o = offers.find(e.address); o != offers.end()) {
      auto &m = most[o->second.known->priority];
      m = std::max<double>(m, o->second.known->weight);
    }
  for (auto &e : out) {
    const auto o = offers.find(e.address);
    if (o == offers.end()) continue;
    const auto &known = *o->second.known;
    const auto group = most.find(known.priority);
    e.info.priorityGroup = static_cast<int>(std::distance(most.begin(), group));
    e.info.weight = group->second > 0 ? std::max(known.weight / group->second, kLeastWeight) : 1;
  }
}

bool EndpointMerge::serves(const std::vector<Entry> &entries) const {
  return std::any_of(entries.begin(), entries.end(),
                     [](const Entry &e) { return e.info.state == EndpointState::ready; });
}

std::vector<Entry> EndpointMerge::merged(Nanoseconds now) {
  expireHolds(now);
  prune(now);
  selectTargets();
  std::vector<Entry> out;
  Offers offered;
  for (const bool lastResort : {false, true}) {
    figures_ = {};
    figures_.lastResort = lastResort;
    out.clear();
    offered = offers(lastResort, now);
    addListed(offered, out);
    addNamed(offered, out, now);
    if (serves(out)) break;
  }
  groups(out, offered);
  std::set<int> tiers;
  for (const auto &e : out)
    tiers.insert(e.info.priorityGroup), figures_.servers += e.info.state == EndpointState::ready;
  figures_.lastResort = figures_.lastResort && figures_.servers > 0;
  figures_.groups = tiers.size();
  figures_.named = offered.size();
  figures_.listDown = listDown_;
  for (const auto &set : sets_) {
    figures_.staleSets += set.goodUntil != 0 && now > set.goodUntil;
    figures_.expiredSets += set.goodUntil != 0 && now - set.goodUntil > staleMost_;
    figures_.deniedSets += set.denied;
  }
  return out;
}

Nanoseconds EndpointMerge::nextChange(Nanoseconds now) const {
  Nanoseconds next = INT64_MAX;
  const auto by = [&](Nanoseconds t) {
    if (t > now) next = std::min(next, t);
  };
  for (const auto &set : sets_) {
    if (set.lossSince != 0) by(set.lossSince + prudence_.lossHold);
    if (set.goodUntil != 0) by(set.goodUntil + 1), by(set.goodUntil + staleMost_ + 1);
    if (set.denied) by(set.lastResortUntil);
    for (const auto &[key, known] : set.targets) {
      if (known.dampedSince == 0) continue;
      const double left = std::log2(std::max(penalty(known, now) / prudence_.flapLeast, 1.0));
      by(now + kMillisecond + static_cast<Nanoseconds>(left * static_cast<double>(prudence_.flapHalfLife)));
      by(known.dampedSince + prudence_.flapLongest);
    }
  }
  return next;
}

Past EndpointMerge::past() const {
  Past out;
  for (const auto &set : sets_) {
    Past::Set s{set.name, set.goodAt, set.goodUntil, {}};
    for (const auto &[key, known] : set.targets)
      s.servers.push_back(
          {{key.first, key.second, known.priority, known.weight}, known.named ? 0 : known.goneAt});
    out.sets.push_back(std::move(s));
  }
  for (const auto &[name, host] : hosts_) {
    Past::Host h{name, {}, host.release};
    for (const auto &[address, later] : host.addresses) h.addresses.push_back(address);
    out.hosts.push_back(std::move(h));
  }
  for (const auto &[name, entry] : listed_) out.listed.push_back(entry);
  out.departed.assign(departed_.begin(), departed_.end());
  for (const auto &[address, seen] : seen_) out.starts.emplace_back(address, seen.first);
  return out;
}

// Only for names that are still followed; the list's entries hold until a list is heard.
void EndpointMerge::restore(const Past &past, Nanoseconds now) {
  for (const auto &was : past.sets) {
    const auto set = std::find_if(sets_.begin(), sets_.end(),
                                  [&](const Set &s) { return s.name == was.name; });
    if (set == sets_.end()) continue;
    set->goodAt = was.goodAt;
    set->goodUntil = was.goodUntil;
    for (const auto &server : was.servers) {
      auto &known = set->targets[{server.target.host, server.target.port}];
      known.priority = server.target.priority;
      known.weight = server.target.weight;
      known.named = server.goneAt == 0;
      known.goneAt = server.goneAt;
      known.atFirst = true;
    }
  }
  for (const auto &h : past.hosts) {
    auto &host = hosts_[h.name];
    host.release = h.release;
    for (const auto &address : h.addresses) host.addresses.emplace_back(address, false);
  }
  for (const auto &entry : past.listed) listed_.try_emplace(entry.name, entry);
  for (const auto &[address, at] : past.departed) departed_[address] = at;
  for (const auto &[address, start] : past.starts) seen_[address] = {start, now};
  listDown_ = true;
  selected_ = false;
}

} // namespace myrtlehead::endpoint_merge
