#include "lab/event_player.h"

#include "lab/instance_config.h"

#include <algorithm>

namespace myrtlehead::lab {

namespace {

constexpr std::size_t kRecordsPerServer = 3; // SRV, A, TXT
constexpr Nanoseconds kZoneInterval = kSecond;
constexpr Nanoseconds kFlapInterval = kSecond;

// The scenario's words for faults of the DNS server.
constexpr std::pair<const char *, DnsServer::UdpMode> kDnsFaults[] = {
    {"silent", DnsServer::UdpMode::silent},          {"servfail", DnsServer::UdpMode::servfail},
    {"refused", DnsServer::UdpMode::refused},        {"truncate", DnsServer::UdpMode::truncate},
    {"wrongId", DnsServer::UdpMode::wrongId},        {"noise", DnsServer::UdpMode::garbage},
    {"folds", DnsServer::UdpMode::lowercaseQuestion}};

} // namespace

void EventPlayer::publishZone() {
  auto records = fleet_.dnsRecords(kServiceName, scenario_.ttl, scenario_.namesForget);
  const auto servers = static_cast<double>(records.size() / kRecordsPerServer);
  std::vector<std::string> out;
  for (std::size_t i = 0; i + kRecordsPerServer <= records.size(); i += kRecordsPerServer) {
    const bool isMissing = static_cast<double>(i / kRecordsPerServer) < missingShare_ * servers;
    const bool isFlapping = !flappingServer_.empty() &&
                            records[i].ends_with(" " + flappingServer_ + ".maps.example.");
    if (isMissing || isFlapping) continue;
    for (std::size_t k = 0; k < kRecordsPerServer; ++k) out.push_back(std::move(records[i + k]));
  }
  dns_->setZone(out);
  dns_->addEmptyName(std::string(kServiceName) + ".");
}

net::Task<> EventPlayer::followZone() {
  for (;;) {
    publishZone();
    const net::Deadline deadline{sched_.now() + kZoneInterval, nullptr};
    co_await sched_.wait(fleet_.listChanged(), deadline);
  }
}

std::string EventPlayer::serverOf(const Event &event) {
  if (event.server != "*") return event.server;
  const auto servers = fleet_.nodesInService();
  return servers.empty() ? "" : servers[nextServer_++ % servers.size()];
}

net::Task<> EventPlayer::play(Event event) {
  co_await sched_.sleep(event.at);
  for (;;) {
    sched_.spawn(playOnce(event));
    if (event.every <= 0) co_return;
    co_await sched_.sleep(event.every);
  }
}

net::Task<> EventPlayer::playOnce(Event event) {
  const auto server = serverOf(event);
  if (event.what == "drain") {
    co_await fleet_.drainNodeFor(server, event.lasts);
  } else if (event.what == "names" && dns_ != nullptr) {
    co_await injectDnsFault(event);
  } else if ((event.what == "lose" || event.what == "flap") && dns_ != nullptr) {
    co_await removeFromZone(event, server);
  } else if (event.what == "offer" || event.what == "offer_bad") {
    fleet_.offerBuild(fleet_.newestBuild() + 1, event.what == "offer_bad");
  } else if (event.what == "list") {
    fleet_.isDiscoverySilent = true;
    co_await sched_.sleep(event.lasts);
    fleet_.isDiscoverySilent = false;
  } else if (event.what == "restart") {
    co_await restartInstances_();
  } else if (auto *node = fleet_.findNode(server)) {
    co_await injectNodeFault(event, *node);
  }
}

net::Task<> EventPlayer::injectDnsFault(const Event &event) {
  for (const auto &[word, fault] : kDnsFaults)
    if (event.fault == word) dns_->udpMode = fault;
  if (event.lasts <= 0) co_return;
  co_await sched_.sleep(event.lasts);
  dns_->udpMode = DnsServer::UdpMode::normal;
}

net::Task<> EventPlayer::removeFromZone(const Event &event, const std::string &server) {
  const bool flaps = event.what == "flap";
  const Nanoseconds until = sched_.now() + event.lasts;
  for (bool isOut = true; sched_.now() < until; isOut = !isOut) {
    if (!flaps) missingShare_ = event.amount;
    flappingServer_ = flaps && isOut ? server : "";
    publishZone();
    co_await sched_.sleep(std::min(until - sched_.now(), flaps ? kFlapInterval : event.lasts));
  }
  missingShare_ = 0;
  flappingServer_.clear();
  publishZone();
}

net::Task<> EventPlayer::injectNodeFault(const Event &event, EmulatedNode &node) {
  auto &faults = node.faults;
  if (event.what == "crash") node.crash();
  if (event.what == "hang") faults.isHanging = true;
  if (event.what == "slow") faults.slowdown = event.amount;
  if (event.what == "errors") faults.errorShare = event.amount;
  if (event.what == "resets") faults.resetShare = event.amount;
  if (event.lasts <= 0) co_return;
  co_await sched_.sleep(event.lasts);
  node.recover();
}

} // namespace myrtlehead::lab
