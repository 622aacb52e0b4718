#include "policy/endpoint_merge.h"

#include <algorithm>
#include <utility>

namespace myrtlehead::endpoint_merge {

namespace {

// Smallest relative weight in a group. SRV weight 0 means "a very small chance of being selected" (RFC 2782).
constexpr double kMinWeight = 0.01;

std::string hostAndPort(const std::string &host, std::uint16_t port) {
  return host + ":" + std::to_string(port);
}

bool isReady(const Entry &entry) { return entry.info.state == EndpointState::ready; }

} // namespace

std::size_t EndpointMerge::addSrvName(std::string name, int release, int zone) {
  sets_.emplace_back(std::move(name), release, zone);
  return sets_.size() - 1;
}

NextLookup EndpointMerge::onSrvAnswer(std::size_t set, DnsRecordsResult result,
                                      const std::vector<Target> &targets, Nanoseconds validUntil,
                                      Nanoseconds now) {
  if (result == DnsRecordsResult::failed) return NextLookup::onSchedule;
  const auto next = sets_[set].onAnswer(result, targets, validUntil, now, settings_.lossRetention,
                                        settings_.flapDamping, staleTime_);
  if (result == DnsRecordsResult::records)
    for (const auto &target : targets)
      if (sets_[set].targets().contains({target.host, target.port})) hosts_.add(target.host);
  isSubsetCurrent_ = false;
  return next;
}

NextLookup EndpointMerge::onAddressAnswer(const std::string &host, DnsRecordsResult result,
                                          std::vector<std::string> addresses) {
  return hosts_.onAnswer(host, result, std::move(addresses), settings_.lossRetention.confirmations);
}

void EndpointMerge::onEndpointList(const std::vector<Entry> &entries, ListUpdate kind, Nanoseconds now) {
  list_.onUpdate(entries, kind, now);
}

void EndpointMerge::expireRetention(Nanoseconds now) {
  for (auto &set : sets_)
    if (set.expireRetention(now, settings_.lossRetention, staleTime_)) isSubsetCurrent_ = false;
}

// A departed address stays out of service while DNS records contain it, however old the answer is.
void EndpointMerge::refreshDeparted(Nanoseconds now) {
  if (list_.departed().empty()) return;
  for (const auto &set : sets_)
    for (const auto &[key, target] : set.targets()) {
      const auto *host = target.isPresent ? hosts_.find(key.first) : nullptr;
      if (host == nullptr) continue;
      for (const auto &resolved : host->addresses)
        list_.departed().onSeenInDns(hostAndPort(resolved.address, key.second), now);
    }
}

void EndpointMerge::forgetRemoved(Nanoseconds now) {
  const auto &damping = settings_.flapDamping;
  const Nanoseconds targetMemoryTime = std::max(damping.maxSuppressTime, 2 * damping.halfLife);
  for (auto &set : sets_) set.forgetRemoved(now, targetMemoryTime);
  hosts_.clearInUse();
  for (const auto &set : sets_)
    for (const auto &[key, target] : set.targets()) hosts_.markInUse(key.first);
  hosts_.removeUnused();
  refreshDeparted(now);
  list_.departed().forgetOlderThan(settings_.departedMemoryTime, now);
  startTimes_.forgetOlderThan(settings_.departedMemoryTime, now);
}

void EndpointMerge::selectSubset() {
  if (isSubsetCurrent_) return;
  isSubsetCurrent_ = true;
  std::vector<std::string> names;
  std::vector<const TargetKey *> keys;
  std::set<TargetKey> distinct;
  for (const auto &set : std::as_const(sets_))
    for (const auto &[key, target] : set.targets()) {
      if (!target.isPresent || !distinct.insert(key).second) continue;
      keys.push_back(&key);
      names.push_back(hostAndPort(key.first, key.second));
    }
  const auto inSubset = targetSubset_.select(names);
  subsetTargets_.clear();
  usesAllTargets_ = std::find(inSubset.begin(), inSubset.end(), false) == inSubset.end();
  if (usesAllTargets_) return;
  for (std::size_t i = 0; i < keys.size(); ++i)
    if (inSubset[i]) subsetTargets_.insert(*keys[i]);
}

std::vector<EndpointMerge::HostLookup> EndpointMerge::hostsToResolve() {
  selectSubset();
  std::map<std::string, bool> needsRelease;
  for (const auto &set : std::as_const(sets_))
    for (const auto &[key, target] : set.targets())
      if (target.isPresent && isInSubset(key)) needsRelease[key.first] |= set.release() < 0;
  std::vector<HostLookup> out;
  for (const auto &[host, isReleaseNeeded] : needsRelease) out.push_back({host, isReleaseNeeded});
  return out;
}

void EndpointMerge::addAddressesOf(const SrvRecordSet &set, const TargetKey &key, const TargetState &target,
                                   DnsEndpoints &out) {
  const auto &host = *hosts_.find(key.first); // not null: forgetRemoved() adds each target's host
  statistics_.unresolvedTargets += host.addresses.empty();
  for (const auto &[address, appearedLater] : host.addresses) {
    const auto name = host.addresses.size() == 1 ? hostAndPort(key.first, key.second)
                                                 : hostAndPort(key.first + "[" + address + "]", key.second);
    const int release = host.release >= 0 ? host.release : set.release();
    const DnsEndpoint endpoint{&set, &target, name, release, appearedLater};
    const auto [existing, isNew] = out.try_emplace(hostAndPort(address, key.second), endpoint);
    if (isNew) continue;
    ++statistics_.addressesWithTwoNames;
    if (target.priority < existing->second.target->priority) existing->second = endpoint;
  }
}

EndpointMerge::DnsEndpoints EndpointMerge::eligibleDnsEndpoints(Eligibility eligibility, Nanoseconds now) {
  const bool isLastResort = eligibility == Eligibility::lastResort;
  DnsEndpoints out;
  for (auto &set : sets_) {
    const bool isExpired = set.isExpired(now, staleTime_);
    for (auto &[key, target] : set.targets()) {
      const bool isServedAfterRemoval = !target.isPresent && set.mayServeRemoved(now);
      const bool needsLastResort = isServedAfterRemoval || (target.isPresent && isExpired);
      const bool isEligible = isLastResort ? needsLastResort || target.isPresent
                                           : !needsLastResort && target.isPresent;
      if (!isEligible) continue;
      const bool isSuppressed = target.flaps.updateSuppression(settings_.flapDamping, now);
      if (!isLastResort) {
        statistics_.suppressedTargets += isSuppressed;
        statistics_.retainedTargets += target.isMissing;
        if (isSuppressed) continue;
      }
      if (target.isPresent && !isInSubset(key)) continue;
      addAddressesOf(set, key, target, out);
    }
  }
  return out;
}

EndpointInfo EndpointMerge::infoFor(const std::string &address, const DnsEndpoint &endpoint,
                                    Nanoseconds now) {
  EndpointInfo out;
  out.build = endpoint.release >= 0 ? endpoint.release : kUnknownBuild;
  out.zone = endpoint.set->zone() >= 0 ? endpoint.set->zone() : homeZone_;
  out.startedAt = startTimes_.onAddressSeen(
      address, !endpoint.target->wasInFirstAnswer || endpoint.appearedLater, now);
  return out;
}

void EndpointMerge::addListed(const DnsEndpoints &inDns, std::vector<Entry> &out) {
  const bool hasDnsAnswer = std::any_of(sets_.begin(), sets_.end(),
                                        [](const SrvRecordSet &set) { return set.answeredAt() != 0; });
  std::vector<std::string> listOnlyAddresses;
  std::vector<const Entry *> listOnly;
  for (const auto &[name, entry] : list_.entries()) {
    const bool ready = isReady(entry);
    const auto dns = inDns.find(entry.address);
    statistics_.listed += ready;
    if (dns != inDns.end()) {
      const auto &endpoint = dns->second;
      statistics_.addressesWithTwoNames += endpoint.name != name;
      statistics_.buildMismatches += endpoint.release >= 0 && endpoint.release != entry.info.build;
      statistics_.drainingButInDns += !ready;
      out.push_back(entry);
    } else {
      // If a subset is used, the endpoint may be missing only because its target is not in the subset.
      statistics_.listedNotInDns += ready && hasDnsAnswer && usesAllTargets_;
      listOnly.push_back(&entry);
      listOnlyAddresses.push_back(entry.address);
    }
  }
  const auto inSubset = listSubset_.select(listOnlyAddresses);
  for (std::size_t i = 0; i < listOnly.size(); ++i)
    if (inSubset[i]) out.push_back(*listOnly[i]);
}

void EndpointMerge::addDnsOnly(const DnsEndpoints &inDns, std::vector<Entry> &out, Nanoseconds now) {
  std::set<std::string> listedAddresses;
  for (const auto &[name, entry] : list_.entries()) listedAddresses.insert(entry.address);
  for (const auto &[address, endpoint] : inDns) {
    if (listedAddresses.contains(address)) continue;
    if (list_.departed().contains(address)) {
      ++statistics_.drainingButInDns;
      continue;
    }
    out.push_back({endpoint.name, address, infoFor(address, endpoint, now)});
    statistics_.unknownBuilds += endpoint.release < 0;
  }
}

// Numbers the priority groups by ascending SRV priority, and sets each weight to a fraction of the largest
// weight in its group.
void EndpointMerge::assignPriorityGroups(std::vector<Entry> &out, const DnsEndpoints &inDns) const {
  std::map<int, double> maxWeights; // by priority
  for (const auto &entry : out)
    if (const auto dns = inDns.find(entry.address); dns != inDns.end()) {
      auto &maxWeight = maxWeights[dns->second.target->priority];
      maxWeight = std::max<double>(maxWeight, dns->second.target->weight);
    }
  for (auto &entry : out) {
    const auto dns = inDns.find(entry.address);
    if (dns == inDns.end()) continue;
    const auto &target = *dns->second.target;
    const auto group = maxWeights.find(target.priority);
    entry.info.priorityGroup = static_cast<int>(std::distance(maxWeights.begin(), group));
    entry.info.weight = group->second > 0 ? std::max(target.weight / group->second, kMinWeight) : 1;
  }
}

void EndpointMerge::summarize(const std::vector<Entry> &out, const DnsEndpoints &inDns, Nanoseconds now) {
  std::set<int> groups;
  for (const auto &entry : out) {
    groups.insert(entry.info.priorityGroup);
    statistics_.endpoints += isReady(entry);
  }
  statistics_.isLastResort = statistics_.isLastResort && statistics_.endpoints > 0;
  statistics_.priorityGroups = groups.size();
  statistics_.inDns = inDns.size();
  statistics_.isListDown = list_.isDown();
  for (const auto &set : sets_) {
    statistics_.staleSets += set.isStale(now);
    statistics_.expiredSets += set.isExpired(now, staleTime_);
    statistics_.emptySets += set.isConfirmedEmpty();
  }
}

std::vector<Entry> EndpointMerge::mergedEndpoints(Nanoseconds now) {
  expireRetention(now);
  forgetRemoved(now);
  selectSubset();
  std::vector<Entry> out;
  DnsEndpoints inDns;
  for (const auto eligibility : {Eligibility::usual, Eligibility::lastResort}) {
    statistics_ = {};
    statistics_.isLastResort = eligibility == Eligibility::lastResort;
    out.clear();
    inDns = eligibleDnsEndpoints(eligibility, now);
    addListed(inDns, out);
    addDnsOnly(inDns, out, now);
    if (std::any_of(out.begin(), out.end(), isReady)) break;
  }
  assignPriorityGroups(out, inDns);
  summarize(out, inDns, now);
  return out;
}

Nanoseconds EndpointMerge::nextChange(Nanoseconds now) const {
  EarliestAfter next(now);
  for (const auto &set : sets_)
    set.addNextChange(now, settings_.lossRetention, settings_.flapDamping, staleTime_, next);
  return next.value();
}

Snapshot EndpointMerge::snapshot() const {
  Snapshot out;
  for (const auto &set : sets_) {
    Snapshot::RecordSet saved{set.name(), set.answeredAt(), set.validUntil(), {}};
    for (const auto &[key, target] : set.targets())
      saved.targets.push_back(
          {{key.first, key.second, target.priority, target.weight}, target.isPresent ? 0 : target.removedAt});
    out.sets.push_back(std::move(saved));
  }
  for (const auto &[name, host] : hosts_.all()) {
    Snapshot::Host saved{name, {}, host.release};
    for (const auto &resolved : host.addresses) saved.addresses.push_back(resolved.address);
    out.hosts.push_back(std::move(saved));
  }
  for (const auto &[name, entry] : list_.entries()) out.listed.push_back(entry);
  const auto &departed = list_.departed().all();
  out.departed.assign(departed.begin(), departed.end());
  for (const auto &[address, startTime] : startTimes_.all())
    out.starts.emplace_back(address, startTime.startedAt);
  return out;
}

void EndpointMerge::restore(const Snapshot &snapshot, Nanoseconds now) {
  for (const auto &saved : snapshot.sets) {
    const auto set = std::find_if(sets_.begin(), sets_.end(),
                                  [&](const SrvRecordSet &known) { return known.name() == saved.name; });
    if (set == sets_.end()) continue;
    set->restoreAnswerTimes(saved.answeredAt, saved.validUntil);
    for (const auto &target : saved.targets) set->restoreTarget(target.target, target.removedAt);
  }
  for (const auto &host : snapshot.hosts) hosts_.restore(host.name, host.addresses, host.release);
  list_.restore(snapshot.listed, snapshot.departed);
  for (const auto &[address, startedAt] : snapshot.starts) startTimes_.restore(address, startedAt, now);
  isSubsetCurrent_ = false;
}

} // namespace myrtlehead::endpoint_merge
