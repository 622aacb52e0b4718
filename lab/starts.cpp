#include "lab/starts.h"

#include "control/dns/dns_discovery.h"
#include "lab/dns_server.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <prometheus/registry.h>
#include <sstream>

namespace myrtlehead::lab {

namespace {

constexpr int kMarshals = 100, kServers = 20, kTtl = 10;
constexpr sched::Nanoseconds kMinute = 60'000'000'000;

struct Crowd {
  Crowd(sched::Scheduler &sched, net::DescriptorBudget &budget, bool jitter, const log::Log &log)
      : dns(sched, budget) {
    std::vector<std::string> zone;
    for (int i = 0; i < kServers; ++i) {
      const auto host = fmt::format("s-{}.maps.example.", i);
      zone.push_back(fmt::format("_pg._tcp.maps.example. {} IN SRV 0 1 6432 {}", kTtl, host));
      zone.push_back(fmt::format("{} {} IN A 127.0.1.{}", host, kTtl, i + 1));
    }
    dns.setZone(zone);
    dns.addsTargetAddresses = true;
    dns.maxUdpSize = 4096;
    naming.servers = {dns.address()};
    naming.srvNames = {{"_pg._tcp.maps.example", 1, -1}};
    if (!jitter) {
      naming.startSpread = 0;
      naming.resolution.minRefreshFraction = naming.resolution.maxRefreshFraction = 0.85;
    }
    for (int i = 0; i < kMarshals; ++i) {
      sources.emplace_back(naming.merge, naming.resolution.staleTime, 0, subsetting::Subset(1, 0, 0));
      names.emplace_back(sched, budget, sources.back(), naming, static_cast<std::uint64_t>(i), log, counters);
      sched.spawn(names.back().run(dns_discovery::FirstLookups::spread));
    }
  }
  void print(const char *name, sched::Nanoseconds begun) const {
    std::vector<int> seconds(60);
    for (const auto t : dns.queryTimes)
      ++seconds[std::min<std::size_t>(static_cast<std::size_t>((t - begun) / 1'000'000'000), 59)];
    auto sorted = seconds;
    std::sort(sorted.begin(), sorted.end());
    fmt::print("{:<16} {:>8} queries, busiest second {:>5}, median {:>4}; first ten seconds:", name,
               dns.queryTimes.size(), sorted.back(), sorted[30]);
    for (int i = 0; i < 10; ++i) fmt::print(" {}", seconds[static_cast<std::size_t>(i)]);
    fmt::print("\n");
  }
  DnsServer dns;
  dns_discovery::DnsSettings naming;
  prometheus::Registry registry;
  dns_discovery::DnsMetrics counters{registry};
  std::deque<endpoint_merge::EndpointMerge> sources;
  std::deque<dns_discovery::DnsDiscovery> names;
};

sched::Task<> waitFor(sched::Scheduler &sched, sched::Nanoseconds time) {
  co_await sched.sleep(time);
  sched.halt();
}

} // namespace

int starts() {
  sched::Scheduler sched;
  net::DescriptorBudget budget(10'000);
  std::ostringstream lines;
  log::LogOutput logs(lines, log::Format::text, {log::Level::error, {}});
  const auto begun = sched.now();
  Crowd with(sched, budget, true, logs.forPackage("names")),
      without(sched, budget, false, logs.forPackage("names"));
  sched.spawn(waitFor(sched, kMinute));
  sched.run();
  fmt::print(
      "{} marshals started in one instant, {} servers with addresses along, lifetimes of {} s, one minute\n",
      kMarshals, kServers, kTtl);
  with.print("with jitter", begun);
  without.print("without jitter", begun);
  sched.destroyAllTasks();
  return 0;
}

} // namespace myrtlehead::lab
