#include "control/dns/dns_discovery.h"

#include "control/dns/snapshot.h"

#include <algorithm>

namespace myrtlehead::dns_discovery {

using dns_resolution::LookupOutcome;
using dns_resolution::LookupResult;
using dns_resolution::Transport;
using endpoint_merge::DnsRecordsResult;
using endpoint_merge::NextLookup;

namespace {

// FirstLookups::immediate spreads the first look-ups over this time.
constexpr Nanoseconds kImmediateSpread = kSecond / 4;

// Minimum times between saves of the state, without and with look-ups in flight.
constexpr Nanoseconds kSaveInterval = kSecond;
constexpr Nanoseconds kSaveIntervalInFlight = 10 * kSecond;

// After the first outcome, the first merged set is published at the latest after this time, see
// isInitialWait().
constexpr Nanoseconds kMaxInitialWait = kSecond / 4;

constexpr Nanoseconds kMaxSleep = 60 * kSecond; // longest wait in run()

DnsRecordsResult recordsResultOf(LookupResult result) {
  switch (result) {
  case LookupResult::records:
    return DnsRecordsResult::records;
  case LookupResult::nxDomain:
    return DnsRecordsResult::nxDomain;
  case LookupResult::noData:
    return DnsRecordsResult::noData;
  case LookupResult::failed:
    break;
  }
  return DnsRecordsResult::failed;
}

const char *toText(LookupResult result) {
  constexpr const char *kTexts[] = {"records", "NXDOMAIN", "NODATA", "failed"};
  return kTexts[static_cast<int>(result)];
}

// Returns why an SRV look-up gave no records; "" if it gave records.
std::string failureOf(const LookupOutcome &outcome) {
  switch (outcome.result) {
  case LookupResult::records:
    return "";
  case LookupResult::nxDomain:
    return "no such name";
  case LookupResult::noData:
    return "the name has no SRV records";
  case LookupResult::failed:
    break;
  }
  return outcome.failure;
}

} // namespace

DnsDiscovery::DnsDiscovery(net::Scheduler &sched, net::DescriptorBudget &budget,
                           endpoint_merge::EndpointMerge &merge, const DnsSettings &settings,
                           std::uint64_t seed, log::Log log, DnsMetrics &metrics)
    : sched_(sched), budget_(budget), merge_(merge), settings_(settings), log_(std::move(log)),
      metrics_(metrics), random_(seed), schedule_(settings.resolution, seed + 1) {
  for (const auto &set : settings.srvNames) {
    const auto name = *dns::canonicalName(set.name);
    merge_.addSrvName(name, set.release, set.zone);
    srvQuestions_.push_back({name, dns::Type::srv});
  }
  lastFailures_.resize(srvQuestions_.size());
  hasOutcome_.resize(srvQuestions_.size());
  setServers(settings.servers);
}

void DnsDiscovery::setServers(std::vector<net::Address> addresses) {
  const bool areSame = servers_ != nullptr &&
                       std::equal(addresses.begin(), addresses.end(), servers_->begin(), servers_->end(),
                                  [](const net::Address &address, const auto &server) {
                                    return address == server->address;
                                  });
  if (addresses.empty() || areSame) return;
  servers_ = std::make_shared<Servers>();
  for (const auto &address : addresses) {
    auto tcpClient = std::make_shared<TcpQueryClient>(sched_, budget_, address);
    servers_->push_back(std::make_unique<Server>(Server{address, std::move(tcpClient)}));
  }
  serverStates_ = std::make_shared<dns_resolution::DnsServers>(addresses.size());
}

net::Task<> DnsDiscovery::run(FirstLookups first) {
  const Nanoseconds spread = first == FirstLookups::spread ? settings_.startSpread : kImmediateSpread;
  for (const auto &question : srvQuestions_) schedule_.add(question, spread, sched_.now());
  scheduleHosts();
  for (;;) {
    while (const auto question = schedule_.startDue(sched_.now())) sched_.spawn(lookUp(*question));
    const bool isDue = needsPublishing_ || merge_.nextChange(publishedAt_) <= sched_.now();
    if (isDue && !isInitialWait()) publish();
    saveIfDue();
    Nanoseconds wakeAt = std::min(
        {schedule_.nextDueAt(), merge_.nextChange(publishedAt_), sched_.now() + kMaxSleep});
    if (isInitialWait() && initialWaitEnd_ != 0) wakeAt = std::min(wakeAt, initialWaitEnd_);
    const sched::Deadline deadline{wakeAt, nullptr};
    co_await sched_.wait(lookupFinished_, deadline);
  }
}

// Returns whether publishing is delayed because the first look-ups have not finished. Otherwise the few
// endpoints whose addresses are resolved first after a start would receive all requests.
bool DnsDiscovery::isInitialWait() {
  const bool isLookingUp = schedule_.inFlight() > 0 || schedule_.nextDueAt() <= sched_.now();
  const bool isOverNow = initialWaitEnd_ != 0 && (!isLookingUp || sched_.now() >= initialWaitEnd_);
  isInitialWaitOver_ = isInitialWaitOver_ || isOverNow;
  return !isInitialWaitOver_;
}

net::Task<QueryResult> DnsDiscovery::send(const dns_resolution::Query &query) {
  const net::Deadline deadline{sched_.now() + query.timeout, nullptr};
  auto &server = *(*servers_)[query.server];
  metrics_.onQuery(query.transport);
  if (query.transport == Transport::tcp) co_return co_await server.tcpClient->query(query.sent, deadline);
  co_return co_await queryOverUdp(sched_, budget_, server.address, query.sent, deadline);
}

net::Task<> DnsDiscovery::lookUp(dns::Question question) {
  const auto servers = servers_; // setServers() may replace them meanwhile
  const auto serverStates = serverStates_;
  dns_resolution::Lookup lookup(question, settings_.resolution, *serverStates);
  while (!lookup.isFinished()) {
    const auto query = lookup.nextQuery(sched_.now(), random_);
    if (servers != servers_) break;
    const auto result = co_await send(query);
    if (result.hasResponse) {
      lookup.onResponse(result.message, result.letterCase, sched_.now());
    } else {
      metrics_.onQueryError(result.error);
      lookup.onError(result.error, sched_.now());
    }
  }
  const auto &outcome = lookup.outcome();
  metrics_.onLookupFinished(outcome.result);
  log_.debug("DNS look-up", {{"name", question.name},
                             {"type", typeName(question.type)},
                             {"result", toText(outcome.result)},
                             {"records", outcome.records.size()},
                             {"failure", outcome.failure}});
  if (schedule_.onOutcome(question, outcome, sched_.now())) onOutcome(question, outcome);
  lookupFinished_.notify();
}

void DnsDiscovery::onOutcome(const dns::Question &question, const LookupOutcome &outcome) {
  const auto set = std::find(srvQuestions_.begin(), srvQuestions_.end(), question);
  if (set != srvQuestions_.end())
    onSrvOutcome(static_cast<std::size_t>(set - srvQuestions_.begin()), question, outcome);
  else
    onHostOutcome(question, outcome);
  needsPublishing_ = true;
  if (outcome.result != LookupResult::failed) hasUnsavedState_ = true;
}

void DnsDiscovery::onSrvOutcome(std::size_t set, const dns::Question &question,
                                const LookupOutcome &outcome) {
  hasOutcome_[set] = true;
  lastFailures_[set] = failureOf(outcome);
  auto result = recordsResultOf(outcome.result);
  std::vector<endpoint_merge::Target> targets;
  for (const auto &record : outcome.records)
    if (!record.target.empty())
      targets.push_back({record.target, record.port, record.priority, record.weight});
  if (result == DnsRecordsResult::records && targets.empty()) {
    result = DnsRecordsResult::notAvailable;
    lastFailures_[set] = "the service is not available: the SRV target is '.' (RFC 2782)";
  }
  const auto next = merge_.onSrvAnswer(set, result, targets, schedule_.validUntil(question), sched_.now());
  if (next == NextLookup::soon)
    schedule_.refreshSoon(question, settings_.merge.lossRetention.confirmationInterval, sched_.now());
  if (initialWaitEnd_ == 0) initialWaitEnd_ = sched_.now() + kMaxInitialWait;
  useAdditionalAddresses(outcome);
  scheduleHosts();
}

// Uses the addresses in the additional section, which makes their look-ups unnecessary.
void DnsDiscovery::useAdditionalAddresses(const LookupOutcome &outcome) {
  struct Addresses {
    std::vector<std::string> addresses;
    Nanoseconds ttl = INT64_MAX; // the shortest
  };
  std::map<std::string, Addresses> byHost;
  for (const auto &record : outcome.additional) {
    if (record.type != dns::Type::a) continue;
    auto &host = byHost[record.owner];
    host.addresses.push_back(record.address);
    host.ttl = std::min<Nanoseconds>(host.ttl, record.ttl * kSecond);
  }
  if (byHost.empty()) return;
  for (const auto &wanted : merge_.hostsToResolve()) {
    const auto host = byHost.find(wanted.host);
    if (host == byHost.end()) continue;
    merge_.onAddressAnswer(wanted.host, DnsRecordsResult::records, host->second.addresses);
    schedule_.onAdditionalRecords({wanted.host, dns::Type::a}, host->second.ttl, sched_.now());
  }
}

void DnsDiscovery::onTxtOutcome(const std::string &host, const LookupOutcome &outcome) {
  if (outcome.result == LookupResult::failed) return;
  int release = -1;
  for (const auto &record : outcome.records)
    release = std::max(release, endpoint_merge::parseRelease(record.text));
  merge_.onReleaseAnswer(host, release);
}

void DnsDiscovery::onHostOutcome(const dns::Question &question, const LookupOutcome &outcome) {
  const auto &host = question.name;
  if (question.type == dns::Type::txt) return onTxtOutcome(host, outcome);
  // IPv4 is preferred: AAAA records are looked up only if there are no A records.
  const dns::Question ipv6{host, dns::Type::aaaa};
  const bool isIpv4 = question.type == dns::Type::a;
  const bool isNegative = outcome.result == LookupResult::nxDomain || outcome.result == LookupResult::noData;
  if (isIpv4 && isNegative) return schedule_.add(ipv6, 0, sched_.now());
  std::vector<std::string> addresses;
  for (const auto &record : outcome.records) addresses.push_back(record.address);
  if (isIpv4 && outcome.result == LookupResult::records) schedule_.remove(ipv6);
  const auto next = merge_.onAddressAnswer(host, recordsResultOf(outcome.result), std::move(addresses));
  if (next == NextLookup::soon)
    schedule_.refreshSoon(question, settings_.merge.lossRetention.confirmationInterval, sched_.now());
}

void DnsDiscovery::scheduleHosts() {
  std::map<std::string, bool> wanted;
  for (const auto &host : merge_.hostsToResolve()) wanted[host.host] = host.needsRelease;
  for (const auto &[host, needsRelease] : hosts_) {
    if (wanted.contains(host)) continue;
    for (const auto type : {dns::Type::a, dns::Type::aaaa, dns::Type::txt}) schedule_.remove({host, type});
  }
  for (const auto &[host, needsRelease] : wanted) {
    schedule_.add({host, dns::Type::a}, 0, sched_.now());
    if (needsRelease) schedule_.add({host, dns::Type::txt}, 0, sched_.now());
  }
  hosts_.swap(wanted);
}

void DnsDiscovery::publish() {
  needsPublishing_ = false;
  publishedAt_ = sched_.now();
  if (onChange) onChange();
  const auto &statistics = merge_.statistics();
  Nanoseconds staleness = 0;
  for (const auto &question : srvQuestions_) {
    const Nanoseconds until = schedule_.validUntil(question);
    if (until != 0) staleness = std::max(staleness, sched_.now() - until);
  }
  metrics_.setMergeStatistics(statistics);
  metrics_.setStaleness(static_cast<double>(staleness) / 1e9);
  logCondition(statistics);
}

namespace {

// Describes the condition of the merged set. If several conditions hold, the most urgent one is returned.
const char *conditionOf(const endpoint_merge::MergeStatistics &s) {
  if (s.endpoints == 0) return "no endpoint is known";
  if (s.isLastResort) return "DNS records are used as a last resort";
  if (s.expiredSets > 0) return "DNS records have expired";
  if (s.retainedTargets > 0) return "a sudden loss of DNS targets is retained";
  if (s.staleSets > 0) return "DNS records are stale";
  if (s.emptySets > 0) return "DNS names have no records";
  return "DNS records are followed";
}

bool isSameCondition(const endpoint_merge::MergeStatistics &a, const endpoint_merge::MergeStatistics &b) {
  const auto bothOrNeither = [](auto x, auto y) { return (x > 0) == (y > 0); };
  return bothOrNeither(a.endpoints, b.endpoints) && bothOrNeither(a.staleSets, b.staleSets) &&
         bothOrNeither(a.expiredSets, b.expiredSets) && bothOrNeither(a.emptySets, b.emptySets) &&
         bothOrNeither(a.retainedTargets, b.retainedTargets) &&
         bothOrNeither(a.suppressedTargets, b.suppressedTargets) && a.isLastResort == b.isLastResort &&
         a.isListDown == b.isListDown && bothOrNeither(a.drainingButInDns, b.drainingButInDns);
}

} // namespace

// Logs the condition of the merged set when it changes.
void DnsDiscovery::logCondition(const endpoint_merge::MergeStatistics &statistics) {
  const bool isUnchanged = hasLoggedCondition_ && isSameCondition(loggedStatistics_, statistics);
  loggedStatistics_ = statistics;
  if (isUnchanged) return;
  hasLoggedCondition_ = true;
  log_.info(conditionOf(statistics), {{"endpoints", statistics.endpoints},
                                      {"listed", statistics.listed},
                                      {"in_dns", statistics.inDns},
                                      {"stale_sets", statistics.staleSets},
                                      {"retained", statistics.retainedTargets},
                                      {"suppressed", statistics.suppressedTargets},
                                      {"draining_but_in_dns", statistics.drainingButInDns},
                                      {"unknown_build", statistics.unknownBuilds},
                                      {"list_down", statistics.isListDown}});
}

bool DnsDiscovery::hasCompletedFirstLookups() const {
  if (std::find(hasOutcome_.begin(), hasOutcome_.end(), false) != hasOutcome_.end()) return false;
  return schedule_.inFlight() == 0 && schedule_.nextDueAt() > sched_.now();
}

std::string DnsDiscovery::encodedState() const {
  return storage::encode(stateIdentity_, encodeSnapshot(merge_.snapshot(), unixAtZero_, sched_.now()));
}

void DnsDiscovery::saveIfDue() {
  if (stateWriter_ == nullptr) return;
  if (const auto error = stateWriter_->takeLastError())
    log_.warning("the DNS state could not be saved", {{"why", error->message()}});
  // The next start needs a complete state: a state without endpoints never replaces a saved state, and while
  // look-ups are in flight the state is saved less often.
  const Nanoseconds interval = schedule_.inFlight() == 0 ? kSaveInterval : kSaveIntervalInFlight;
  if (!hasUnsavedState_ || merge_.statistics().endpoints == 0 || sched_.now() < savedAt_ + interval) return;
  hasUnsavedState_ = false;
  savedAt_ = sched_.now();
  stateWriter_->submit(encodedState());
}

void DnsDiscovery::saveAtExit() {
  if (stateWriter_ == nullptr) return;
  stateWriter_ = nullptr; // first completes the save that was submitted last
  if (merge_.statistics().endpoints == 0) return;
  const auto error = storage::save(statePath_, encodedState());
  if (error) log_.warning("the DNS state could not be saved", {{"why", error->message()}});
}

bool DnsDiscovery::openStateFile(const std::string &path, storage::FileIdentity identity,
                                 sched::Nanoseconds unixAtZero) {
  statePath_ = path;
  stateIdentity_ = std::move(identity);
  stateIdentity_.format = kSnapshotFormat;
  unixAtZero_ = unixAtZero;
  const auto loaded = storage::load(path, stateIdentity_);
  const bool isLoaded = loaded.status == storage::LoadStatus::loaded;
  const auto decoded = isLoaded ? decodeSnapshot(loaded.payload, unixAtZero) : std::nullopt;
  stateWriter_ = std::make_unique<storage::AtomicFileWriter>(path);
  if (!decoded) {
    if (loaded.status != storage::LoadStatus::missing)
      log_.warning("the saved DNS state is rejected",
                   {{"file", path}, {"why", isLoaded ? "its content cannot be decoded" : loaded.problem}});
    return false;
  }
  isInitialWaitOver_ = true;
  const auto &snapshot = decoded->snapshot;
  merge_.restore(snapshot, sched_.now());
  for (const auto &set : snapshot.sets) {
    const dns::Question question{set.name, dns::Type::srv};
    schedule_.add(question, settings_.startSpread, sched_.now());
    schedule_.restore(question, set.answeredAt, set.validUntil);
  }
  log_.info("the saved DNS state is used until DNS servers answer",
            {{"file", path},
             {"age_s", (sched_.now() - decoded->savedAt) / kSecond},
             {"sets", snapshot.sets.size()}});
  needsPublishing_ = true;
  return true;
}

} // namespace myrtlehead::dns_discovery
