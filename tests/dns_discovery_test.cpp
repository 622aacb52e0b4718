// Following name records against a scripted server of names on loopback: every way in which it fails or lies.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control/dns/dns_discovery.h"
#include "fixtures.h"
#include "lab/dns_server.h"

#include <ctime>
#include <filesystem>
#include <fstream>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

using namespace myrtlehead;
using lab::DnsServer;

static const std::string kName = "_pg._tcp.maps.example";

static std::vector<std::string> zone(const std::vector<int> &servers, int ttl = 60) {
  std::vector<std::string> out;
  const auto life = " " + std::to_string(ttl) + " IN ";
  for (const int i : servers) {
    const auto host = "s-" + std::to_string(i) + ".maps.example.";
    out.push_back(kName + "." + life + "SRV 0 1 6432 " + host);
    out.push_back(host + life + "A 127.0.1." + std::to_string(i));
  }
  return out;
}

// A follower with one server of names or more, the waits short.
struct Follower {
  explicit Follower(int servers = 1, int release = 3) {
    for (int i = 0; i < servers; ++i) dns.push_back(std::make_unique<DnsServer>(loop.sched, loop.budget));
    naming.srvNames = {{kName, release, -1}};
    naming.startSpread = 0;
    naming.resolution.firstTimeout = 10 * kMillisecond;
    naming.resolution.minBackoff = 20 * kMillisecond;
    naming.resolution.maxBackoff = 60 * kMillisecond;
    naming.resolution.minTtl = 40 * kMillisecond;
    naming.merge.lossRetention.confirmationInterval = 20 * kMillisecond;
    for (const auto &d : dns) naming.servers.push_back(d->address()), d->zone(zone({1, 2}));
    begin();
  }
  void begin() {
    names.reset();
    sources = std::make_unique<endpoint_merge::EndpointMerge>(naming.merge, naming.resolution.staleTime, 0,
                                                              subsetting::Subset(1, 0, 0));
    names = std::make_unique<dns_discovery::DnsDiscovery>(loop.sched, loop.budget, *sources, naming, 7,
                                                          loop.log, counters);
    names->onChange = [this] { set = sources->mergedEndpoints(loop.sched.now()); };
  }
  sched::Task<> until(std::size_t servers) {
    while (set.size() != servers) co_await loop.sched.sleep(kMillisecond);
  }
  void run(sched::Task<> body) {
    loop.sched.spawn(names->run(dns_discovery::FirstLookups::spread));
    loop.run(std::move(body));
  }
  std::string metrics() { return prometheus::TextSerializer().Serialize(registry.Collect()); }

  Loop loop;
  std::vector<std::unique_ptr<DnsServer>> dns;
  dns_discovery::DnsSettings naming;
  prometheus::Registry registry;
  dns_discovery::DnsMetrics counters{registry};
  std::unique_ptr<endpoint_merge::EndpointMerge> sources;
  std::unique_ptr<dns_discovery::DnsDiscovery> names;
  std::vector<Entry> set;
};

TEST_CASE("servers are found with their addresses") {
  Follower b;
  auto body = [&]() -> sched::Task<> {
    co_await b.until(2);
    REQUIRE(b.set[0].name == "s-1.maps.example:6432");
    REQUIRE(b.set[0].address == "127.0.1.1:6432");
    REQUIRE(b.set[0].info.build == 3);
    REQUIRE(b.names->hasCompletedFirstLookups());
    REQUIRE(b.dns[0]->queries == 3);
  };
  b.run(body());
  REQUIRE(b.loop.lines.str().find("DNS records are followed endpoints=2") != std::string::npos);
  REQUIRE(b.metrics().find("myrtlehead_names_servers{by=\"set\"} 2") != std::string::npos);
}

TEST_CASE("addresses that come along spare look ups") {
  Follower b;
  b.dns[0]->additional = true;
  auto body = [&]() -> sched::Task<> { co_await b.until(2); };
  b.run(body());
  REQUIRE(b.dns[0]->queries == 1);
}

TEST_CASE("text tells the build and six is asked for where four is none") {
  Follower b(1, -1);
  auto lines = zone({1});
  lines.push_back("s-1.maps.example. 60 IN TXT \"zone=a\" \"release=9\"");
  lines.push_back(kName + ". 60 IN SRV 0 1 6432 six.maps.example.");
  lines.push_back("six.maps.example. 60 IN AAAA ::1");
  b.dns[0]->zone(lines);
  auto body = [&]() -> sched::Task<> {
    co_await b.until(2);
    while (b.set[0].info.build != 9) co_await b.loop.sched.sleep(kMillisecond);
    REQUIRE(b.set[1].address == "[::1]:6432");
    REQUIRE(b.set[1].info.build == kUnknownBuild);
  };
  b.run(body());
}

// What a server of names does, and how often its neighbour, which is well, must help.
TEST_CASE("lies and faults are survived") {
  using enum DnsServer::Udp;
  for (const auto fault : {silent, wrongId, wrongQuestion, wrongSource, servfail, refused, noise, loops}) {
    Follower alone, helped(2);
    alone.dns[0]->udp = helped.dns[0]->udp = fault;
    auto nothing = [&]() -> sched::Task<> {
      while (alone.dns[0]->queries < 4) co_await alone.loop.sched.sleep(kMillisecond);
      REQUIRE(alone.set.empty());
    };
    alone.run(nothing());
    auto found = [&]() -> sched::Task<> { co_await helped.until(2); };
    helped.run(found());
  }
  for (const auto fault : {truncate, folds}) {
    Follower b;
    b.dns[0]->udp = fault;
    auto body = [&]() -> sched::Task<> { co_await b.until(2); };
    b.run(body());
    REQUIRE(b.dns[0]->overTcp == 3);
    REQUIRE(b.dns[0]->connections == 1); // pipelined on one
  }
}

TEST_CASE("truncated then no tcp goes to the next server") {
  using enum DnsServer::Tcp;
  for (const auto fault : {closed, hangs, cuts}) {
    Follower b(2);
    b.dns[0]->udp = DnsServer::Udp::truncate;
    b.dns[0]->tcp = fault;
    auto body = [&]() -> sched::Task<> { co_await b.until(2); };
    b.run(body());
  }
}

// 64 KB over TCP, which no datagram holds.
TEST_CASE("a very large answer is taken") {
  Follower b;
  std::vector<std::string> lines;
  for (int i = 0; i < 1800; ++i)
    lines.push_back(kName + ". 60 IN SRV 0 1 " + std::to_string(1000 + i) + " s.maps.example.");
  lines.push_back("s.maps.example. 60 IN A 127.0.1.1");
  b.dns[0]->zone(lines);
  auto body = [&]() -> sched::Task<> { co_await b.until(1800); };
  b.run(body());
  REQUIRE(b.dns[0]->overTcp == 1);
}

TEST_CASE("aliases that loop are a failure") {
  Follower b;
  b.dns[0]->zone({kName + ". 60 IN CNAME a.example.", "a.example. 60 IN CNAME " + kName + "."});
  auto body = [&]() -> sched::Task<> {
    while (b.names->lastFailure(0).empty()) co_await b.loop.sched.sleep(kMillisecond);
    REQUIRE(b.names->lastFailure(0) == "too many aliases");
  };
  b.run(body());
}

// TTL 0 is asked for again at the floor, not without end; 2^31 counts as 0.
TEST_CASE("lifetimes of nought have a floor") {
  for (const char *ttl : {"0", "2147483648"}) {
    Follower b;
    b.dns[0]->additional = true;
    b.dns[0]->zone(
        {kName + ". " + ttl + " IN SRV 0 1 6432 s-1.maps.example.", "s-1.maps.example. 600 IN A 127.0.1.1"});
    auto body = [&]() -> sched::Task<> {
      co_await b.until(1);
      co_await b.loop.sched.sleep(400 * kMillisecond);
    };
    b.run(body());
    REQUIRE(b.dns[0]->queries >= 8);
    REQUIRE(b.dns[0]->queries <= 16);
  }
}

// Look-ups fail in the middle: the last good answer serves on, its staleness is told, and it is taken up
// again.
TEST_CASE("an outage keeps the servers") {
  Follower b;
  b.dns[0]->zone(zone({1, 2}, 0));
  auto body = [&]() -> sched::Task<> {
    co_await b.until(2);
    b.dns[0]->udp = DnsServer::Udp::servfail;
    while (b.sources->statistics().staleSets == 0) co_await b.loop.sched.sleep(kMillisecond);
    co_await b.loop.sched.sleep(200 * kMillisecond);
    REQUIRE(b.set.size() == 2);
    b.dns[0]->udp = DnsServer::Udp::normal;
    b.dns[0]->zone(zone({1, 2, 3}, 0));
    co_await b.until(3);
  };
  b.run(body());
  const auto lines = b.loop.lines.str();
  REQUIRE(lines.find("DNS records are stale endpoints=2") != std::string::npos);
  REQUIRE(b.metrics().find("myrtlehead_names_lookups_total{result=\"failed\"}") != std::string::npos);
}

TEST_CASE("half vanishing is asked for again and then believed") {
  Follower b;
  b.dns[0]->zone(zone({1, 2, 3, 4, 5, 6}));
  b.naming.resolution.maxTtl = 50 * kMillisecond;
  b.begin();
  auto body = [&]() -> sched::Task<> {
    co_await b.until(6);
    b.dns[0]->zone(zone({1, 2}));
    while (b.sources->statistics().retainedTargets == 0) co_await b.loop.sched.sleep(kMillisecond);
    REQUIRE(b.set.size() == 6);
    co_await b.until(2);
  };
  b.run(body());
  REQUIRE(b.loop.lines.str().find("a sudden loss is retained endpoints=6") != std::string::npos);
}

// All servers dark from the start: with a kept state it is served from, without there is nothing, and both
// say so.
TEST_CASE("a start in the dark serves from what was kept") {
  const auto path =
      (std::filesystem::temp_directory_path() / ("myrtlehead-names-" + std::to_string(getpid()))).string();
  {
    Follower b;
    REQUIRE(!b.names->openStateFile(path, {"names", "n0", 1}, 1'700'000'000 * kSecond));
    auto body = [&]() -> sched::Task<> { co_await b.until(2); };
    b.run(body());
    b.names->saveAtExit();
  }
  {
    Follower b;
    b.dns[0]->udp = DnsServer::Udp::silent;
    REQUIRE(b.names->openStateFile(path, {"names", "n0", 1}, 1'700'000'000 * kSecond));
    auto body = [&]() -> sched::Task<> {
      co_await b.until(2);
      b.dns[0]->udp = DnsServer::Udp::normal;
      b.dns[0]->zone(zone({1, 2, 3}));
      co_await b.until(3);
    };
    b.run(body());
    REQUIRE(b.set[2].info.startedAt != 0);
    REQUIRE(b.set[0].info.startedAt == 0); // new to us, and cold
    REQUIRE(b.loop.lines.str().find("saved DNS state is used") != std::string::npos);
  }
  {
    Follower b;
    std::ofstream(path) << "myrtlehead names of 'n0', format 0, 1 bytes, xxh3 0\nx";
    REQUIRE(!b.names->openStateFile(path, {"names", "n0", 1}, 1'700'000'000 * kSecond));
    REQUIRE(b.loop.lines.str().find("it has format 0") != std::string::npos);
    auto body = [&]() -> sched::Task<> { co_await b.until(2); };
    b.run(body());
  }
  for (const char *end : {"", ".refused"}) std::filesystem::remove(path + end);
}

// A start in the dark waits: it neither asks nor works without end.
TEST_CASE("darkness costs little") {
  Follower b;
  b.dns[0]->udp = DnsServer::Udp::silent;
  timespec before{}, after{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &before);
  auto body = [&]() -> sched::Task<> { co_await b.loop.sched.sleep(600 * kMillisecond); };
  b.run(body());
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &after);
  const auto used = (after.tv_sec - before.tv_sec) * kSecond + after.tv_nsec - before.tv_nsec;
  REQUIRE(used < 200 * kMillisecond);
  REQUIRE(b.dns[0]->queries < 60);
}

TEST_CASE("servers of names move without a loss") {
  Follower b(2);
  b.naming.resolution.maxTtl = 50 * kMillisecond;
  b.naming.servers.resize(1);
  b.begin();
  auto body = [&]() -> sched::Task<> {
    co_await b.until(2);
    b.dns[0]->udp = DnsServer::Udp::silent;
    b.dns[1]->zone(zone({1, 2, 3}));
    b.names->setServers({b.dns[1]->address()});
    b.names->setServers({}); // settings without names change nothing
    co_await b.until(3);
  };
  b.run(body());
}

// A hundred instances that start in one instant with something to serve from: their first look-ups are
// spread.
TEST_CASE("many starts are spread") {
  const auto most = [](Nanoseconds spread) {
    Loop loop;
    DnsServer dns(loop.sched, loop.budget);
    dns.additional = true;
    dns.zone(zone({1, 2}));
    dns_discovery::DnsSettings naming;
    naming.servers = {dns.address()};
    naming.srvNames = {{kName, 3, -1}};
    naming.startSpread = spread;
    prometheus::Registry registry;
    dns_discovery::DnsMetrics counters(registry);
    std::deque<endpoint_merge::EndpointMerge> all;
    std::deque<dns_discovery::DnsDiscovery> marshals;
    for (std::uint64_t i = 0; i < 100; ++i) {
      all.emplace_back(naming.merge, naming.resolution.staleTime, 0, subsetting::Subset(1, 0, 0));
      marshals.emplace_back(loop.sched, loop.budget, all.back(), naming, i, loop.log, counters);
      loop.sched.spawn(marshals.back().run(dns_discovery::FirstLookups::spread));
    }
    auto body = [&]() -> sched::Task<> { co_await loop.sched.sleep(1500 * kMillisecond); };
    loop.run(body());
    REQUIRE(dns.queries == 100);
    int out = 0;
    for (const auto t : dns.times)
      out = std::max(out,
                     static_cast<int>(std::count_if(dns.times.begin(), dns.times.end(), [&](Nanoseconds o) {
                       return o >= t && o < t + 100 * kMillisecond;
                     })));
    return out;
  };
  REQUIRE(most(0) > 90);
  REQUIRE(most(kSecond) < 30);
}
