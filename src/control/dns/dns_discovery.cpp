#include "control/dns/dns_discovery.h"

#include "control/dns/snapshot.h"

#include <algorithm>

namespace myrtlehead::dns_discovery {

using dns_resolution::Answer;
using dns_resolution::Said;
using endpoint_merge::DnsRecordsResult;
using endpoint_merge::NextLookup;

namespace {

constexpr Nanoseconds kAtOnce = kSecond / 4; // the first look-ups, where there is nothing to serve from
constexpr Nanoseconds kKeepEvery = kSecond, kKeepAtLast = 10 * kSecond; // the state on disk, at most
constexpr Nanoseconds kGather = kSecond / 4;                            // addresses of the first servers
constexpr Nanoseconds kLongestPause = 60 * kSecond;

DnsRecordsResult recordsResultOf(Said said) {
  return said == Said::records  ? DnsRecordsResult::records
         : said == Said::denied ? DnsRecordsResult::nxDomain
         : said == Said::empty  ? DnsRecordsResult::noData
                                : DnsRecordsResult::failed;
}

} // namespace

DnsDiscovery::DnsDiscovery(net::Scheduler &sched, net::DescriptorBudget &budget,
                           endpoint_merge::EndpointMerge &sources, const DnsSettings &naming,
                           std::uint64_t seed, log::Log log, DnsMetrics &counters)
    : sched_(sched), budget_(budget), sources_(sources), naming_(naming), log_(std::move(log)),
      counters_(counters), chance_(seed), agenda_(naming.resolution, seed + 1) {
  for (const auto &set : naming.sets) {
    const auto name = *dns::canonical(set.name);
    sources_.addSrvName(name, set.release, set.zone);
    sets_.push_back({name, dns::Type::srv});
  }
  lastFailure_.resize(sets_.size());
  heard_.resize(sets_.size());
  serversMoved(naming.servers);
}

void DnsDiscovery::serversMoved(std::vector<net::Address> servers) {
  const bool same = servers_ != nullptr &&
                    std::equal(servers.begin(), servers.end(), servers_->begin(), servers_->end(),
                               [](const net::Address &at, const auto &server) { return at == server->at; });
  if (servers.empty() || same) return; // without any there is nobody to ask: those that were stay
  servers_ = std::make_shared<std::vector<std::unique_ptr<Server>>>();
  for (const auto &at : servers)
    servers_->push_back(std::make_unique<Server>(Server{at, std::make_shared<TcpLine>(sched_, budget_, at)}));
  health_ = std::make_shared<dns_resolution::NameServers>(servers.size());
}

net::Task<> DnsDiscovery::run(bool mayWait) {
  for (const auto &question : sets_)
    agenda_.want(question, mayWait ? naming_.startSpread : kAtOnce, sched_.now());
  wantHosts();
  for (;;) {
    while (const auto question = agenda_.take(sched_.now())) sched_.spawn(flight(*question));
    const bool due = changed_ || sources_.nextChange(publishedAt_) <= sched_.now();
    if (due && !gathering()) publish();
    keep();
    const Nanoseconds next = std::min(
        {agenda_.nextAt(), sources_.nextChange(publishedAt_), sched_.now() + kLongestPause});
    const bool waits = gathering() && gatherUntil_ != 0;
    const sched::Deadline until{waits ? std::min(next, gatherUntil_) : next, nullptr};
    co_await sched_.wait(touched_, until);
  }
}

// Guards the first few servers of a life, whose addresses come first, against the requests of all.
bool DnsDiscovery::gathering() {
  const bool asked = agenda_.open() > 0 || agenda_.nextAt() <= sched_.now();
  gathered_ = gathered_ || (gatherUntil_ != 0 && (!asked || sched_.now() >= gatherUntil_));
  return !gathered_;
}

net::Task<Asked> DnsDiscovery::ask(const dns_resolution::Ask &ask) {
  const net::Deadline until{sched_.now() + ask.within, nullptr};
  auto &server = *(*servers_)[ask.server];
  counters_.query(ask.tcp);
  if (ask.tcp) co_return co_await server.line->ask(ask.sent, until);
  co_return co_await askOverUdp(sched_, budget_, server.at, ask.sent, until);
}

net::Task<> DnsDiscovery::flight(dns::Question question) {
  const auto servers = servers_; // they may move meanwhile
  const auto health = health_;
  dns_resolution::Lookup lookup(question, naming_.resolution, *health);
  while (!lookup.over()) {
    const auto next = lookup.next(sched_.now(), chance_);
    if (servers != servers_) break;
    const auto asked = co_await ask(next);
    if (!asked.answered) counters_.mishap(asked.mishap);
    if (asked.answered)
      lookup.answered(asked.message, asked.folded, sched_.now());
    else
      lookup.mishap(asked.mishap, sched_.now());
  }
  const auto &answer = lookup.answer();
  counters_.lookup(answer.said);
  log_.debug("look-up", {{"name", question.name},
                         {"type", word(question.type)},
                         {"said", word(answer.said)},
                         {"records", answer.records.size()},
                         {"why", answer.why}});
  if (agenda_.told(question, answer, sched_.now())) settle(question, answer);
  touched_.notify();
}

void DnsDiscovery::settle(const dns::Question &question, const Answer &answer) {
  const auto set = std::find(sets_.begin(), sets_.end(), question);
  if (set != sets_.end())
    settleSet(static_cast<std::size_t>(set - sets_.begin()), question, answer);
  else
    settleHost(question, answer);
  changed_ = true;
  if (answer.said != Said::failed) unkept_ = true;
}

void DnsDiscovery::settleSet(std::size_t set, const dns::Question &question, const Answer &answer) {
  heard_[set] = true;
  lastFailure_[set] = answer.said == Said::records  ? ""
                      : answer.said == Said::failed ? answer.why
                      : answer.said == Said::denied ? "no such name"
                                                    : "the name has no SRV records";
  auto result = recordsResultOf(answer.said);
  std::vector<endpoint_merge::Target> targets;
  for (const auto &r : answer.records)
    if (!r.target.empty()) targets.push_back({r.target, r.port, r.priority, r.weight});
  if (result == DnsRecordsResult::records && targets.empty()) {
    result = DnsRecordsResult::notAvailable;
    lastFailure_[set] = "decidedly not available: the target is '.'";
  }
  const auto next = sources_.onSrvAnswer(set, result, targets, agenda_.goodUntil(question), sched_.now());
  if (next == NextLookup::soon)
    agenda_.hasten(question, naming_.merge.lossRetention.confirmationInterval, sched_.now());
  if (gatherUntil_ == 0) gatherUntil_ = sched_.now() + kGather;
  takeAdditional(answer);
  wantHosts();
}

// Addresses that came along spare a look-up each.
void DnsDiscovery::takeAdditional(const Answer &answer) {
  std::map<std::string, std::pair<std::vector<std::string>, Nanoseconds>> byHost;
  for (const auto &r : answer.additional) {
    if (r.type != dns::Type::a) continue;
    auto &[addresses,
           lifetime] = byHost.try_emplace(r.owner, std::vector<std::string>{}, INT64_MAX).first->second;
    addresses.push_back(r.address);
    lifetime = std::min<Nanoseconds>(lifetime, r.ttl * kSecond);
  }
  const auto wanted = byHost.empty() ? std::vector<endpoint_merge::EndpointMerge::HostLookup>{}
                                     : sources_.hostsToResolve();
  for (const auto &w : wanted) {
    const auto it = byHost.find(w.host);
    if (it == byHost.end()) continue;
    sources_.onAddressAnswer(w.host, DnsRecordsResult::records, it->second.first);
    agenda_.cameAlong({w.host, dns::Type::a}, it->second.second, sched_.now());
  }
}

void DnsDiscovery::settleHost(const dns::Question &question, const Answer &answer) {
  const auto &host = question.name;
  if (question.type == dns::Type::txt) {
    if (answer.said == Said::failed) return;
    int release = -1;
    for (const auto &r : answer.records) release = std::max(release, endpoint_merge::releaseIn(r.text));
    return sources_.onReleaseAnswer(host, release);
  }
  // IPv4 before IPv6: the latter is asked for only where there is none of the former.
  const dns::Question six{host, dns::Type::aaaa};
  const bool isFour = question.type == dns::Type::a;
  if (isFour && (answer.said == Said::denied || answer.said == Said::empty))
    return agenda_.want(six, 0, sched_.now());
  std::vector<std::string> addresses;
  for (const auto &r : answer.records) addresses.push_back(r.address);
  if (isFour && answer.said == Said::records) agenda_.forget(six);
  const auto next = sources_.onAddressAnswer(host, recordsResultOf(answer.said), std::move(addresses));
  if (next == NextLookup::soon)
    agenda_.hasten(question, naming_.merge.lossRetention.confirmationInterval, sched_.now());
}

void DnsDiscovery::wantHosts() {
  std::map<std::string, bool> wanted;
  for (const auto &w : sources_.hostsToResolve()) wanted[w.host] = w.needsRelease;
  for (const auto &[host, release] : hosts_)
    if (!wanted.contains(host))
      for (const auto type : {dns::Type::a, dns::Type::aaaa, dns::Type::txt}) agenda_.forget({host, type});
  for (const auto &[host, release] : wanted) {
    agenda_.want({host, dns::Type::a}, 0, sched_.now());
    if (release) agenda_.want({host, dns::Type::txt}, 0, sched_.now());
  }
  hosts_.swap(wanted);
}

void DnsDiscovery::publish() {
  changed_ = false;
  publishedAt_ = sched_.now();
  if (changed) changed();
  const auto &figures = sources_.figures();
  Nanoseconds oldest = 0;
  for (const auto &question : sets_) {
    const Nanoseconds until = agenda_.goodUntil(question);
    if (until != 0) oldest = std::max(oldest, sched_.now() - until);
  }
  counters_.set(figures);
  counters_.staleness(static_cast<double>(oldest) / 1e9);
  tellMode(figures);
}

// One line where the condition of the set changes, with its figures.
void DnsDiscovery::tellMode(const endpoint_merge::MergeStatistics &f) {
  const auto &was = mode_;
  const auto same = [](auto a, auto b) { return (a > 0) == (b > 0); };
  const bool kept = moded_ && same(was.endpoints, f.endpoints) && same(was.staleSets, f.staleSets) &&
                    same(was.expiredSets, f.expiredSets) && same(was.emptySets, f.emptySets) &&
                    same(was.retainedTargets, f.retainedTargets) &&
                    same(was.suppressedTargets, f.suppressedTargets) && was.isLastResort == f.isLastResort &&
                    was.isListDown == f.isListDown && same(was.drainingButInDns, f.drainingButInDns);
  mode_ = f;
  if (kept) return;
  moded_ = true;
  const char *mode = f.endpoints == 0        ? "no server is known"
                     : f.isLastResort        ? "names are believed as a last resort"
                     : f.expiredSets > 0     ? "names have expired"
                     : f.retainedTargets > 0 ? "a sudden loss is held"
                     : f.staleSets > 0       ? "names are stale"
                     : f.emptySets > 0       ? "names are denied"
                                             : "names are followed";
  log_.info(mode, {{"servers", f.endpoints},
                   {"listed", f.listed},
                   {"named", f.inDns},
                   {"stale_sets", f.staleSets},
                   {"held", f.retainedTargets},
                   {"damped", f.suppressedTargets},
                   {"drained_but_named", f.drainingButInDns},
                   {"unknown_build", f.unknownBuilds},
                   {"list_down", f.isListDown}});
}

bool DnsDiscovery::settled() const {
  if (std::find(heard_.begin(), heard_.end(), false) != heard_.end()) return false;
  return agenda_.open() == 0 && agenda_.nextAt() > sched_.now();
}

std::string DnsDiscovery::sealed() const {
  return storage::seal(kind_, encodeSnapshot(sources_.snapshot(), unixAtZero_, sched_.now()));
}

// As soon as no look-up is out, or after a while all the same.
Nanoseconds DnsDiscovery::keepAt(bool whole) const { return keptAt_ + (whole ? kKeepEvery : kKeepAtLast); }

void DnsDiscovery::keep() {
  if (writer_ == nullptr) return;
  if (const auto fault = writer_->lastFault(); !fault.empty())
    log_.warning("the state of names is not kept", {{"why", fault}});
  // Guards a next life against half a state: what has no address yet, or no server at all, does not take the
  // place of what served.
  const bool whole = agenda_.open() == 0;
  if (!unkept_ || sources_.figures().endpoints == 0 || sched_.now() < keepAt(whole)) return;
  unkept_ = false;
  keptAt_ = sched_.now();
  writer_->put(sealed());
}

void DnsDiscovery::saveNow() {
  if (writer_ == nullptr) return;
  writer_ = nullptr; // what was handed over is saved first
  if (sources_.figures().endpoints == 0) return;
  const auto fault = storage::save(path_, sealed());
  if (!fault.empty()) log_.warning("the state of names is not kept", {{"why", fault}});
}

bool DnsDiscovery::keepIn(const std::string &path, storage::Kind kind, sched::Nanoseconds unixAtZero) {
  path_ = path;
  kind_ = std::move(kind);
  kind_.format = kSnapshotFormat;
  unixAtZero_ = unixAtZero;
  const auto opened = storage::load(path, kind_);
  Nanoseconds savedAt = 0;
  auto snapshot = opened.refusal == storage::Opened::none
                      ? decodeSnapshot(opened.payload, unixAtZero, savedAt)
                      : std::nullopt;
  writer_ = std::make_unique<storage::Writer>(path);
  if (!snapshot) {
    if (opened.refusal != storage::Opened::missing)
      log_.warning("the kept state of names is refused",
                   {{"file", path},
                    {"why", opened.refusal == storage::Opened::none ? "it can't be read" : opened.why}});
    return false;
  }
  gathered_ = true;
  sources_.restore(*snapshot, sched_.now());
  for (const auto &set : snapshot->sets) {
    const dns::Question question{set.name, dns::Type::srv};
    agenda_.want(question, naming_.startSpread, sched_.now());
    agenda_.restore(question, set.goodAt, set.goodUntil);
  }
  log_.info("the kept state of names is served until names answer",
            {{"file", path}, {"age_s", (sched_.now() - savedAt) / kSecond}, {"sets", snapshot->sets.size()}});
  changed_ = true;
  return true;
}

} // namespace myrtlehead::dns_discovery
