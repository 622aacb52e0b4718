// Tests DNS discovery against a scripted DNS server on loopback, including faulty and forged responses.
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

static std::vector<std::string> zoneLines(const std::vector<int> &endpoints, int ttl = 60) {
  std::vector<std::string> out;
  const auto ttlAndClass = " " + std::to_string(ttl) + " IN ";
  for (const int i : endpoints) {
    const auto host = "s-" + std::to_string(i) + ".maps.example.";
    out.push_back(kName + "." + ttlAndClass + "SRV 0 1 6432 " + host);
    out.push_back(host + ttlAndClass + "A 127.0.1." + std::to_string(i));
  }
  return out;
}

// DNS discovery with one or more DNS servers and short timeouts. Each server has a zone with two endpoints.
struct DnsDiscoveryFixture {
  explicit DnsDiscoveryFixture(int serverCount = 1, int release = 3) {
    for (int i = 0; i < serverCount; ++i)
      servers.push_back(std::make_unique<DnsServer>(loop.sched, loop.budget));
    settings.srvNames = {{kName, release, -1}};
    settings.startSpread = 0;
    settings.resolution.firstTimeout = 10 * kMillisecond;
    settings.resolution.minBackoff = 20 * kMillisecond;
    settings.resolution.maxBackoff = 60 * kMillisecond;
    settings.resolution.minTtl = 40 * kMillisecond;
    settings.merge.lossRetention.confirmationInterval = 20 * kMillisecond;
    for (const auto &server : servers)
      settings.servers.push_back(server->address()), server->setZone(zoneLines({1, 2}));
    createDiscovery();
  }
  void createDiscovery() {
    discovery.reset();
    merge = std::make_unique<endpoint_merge::EndpointMerge>(settings.merge, settings.resolution.staleTime, 0,
                                                            subsetting::Subset(1, 0, 0));
    discovery = std::make_unique<dns_discovery::DnsDiscovery>(loop.sched, loop.budget, *merge, settings, 7,
                                                              loop.log, dnsMetrics);
    discovery->onChange = [this] { merged = merge->mergedEndpoints(loop.sched.now()); };
  }
  sched::Task<> waitForEndpoints(std::size_t count) {
    while (merged.size() != count) co_await loop.sched.sleep(kMillisecond);
  }
  void run(sched::Task<> body) {
    loop.sched.spawn(discovery->run(dns_discovery::FirstLookups::spread));
    loop.run(std::move(body));
  }
  std::string metrics() { return prometheus::TextSerializer().Serialize(registry.Collect()); }

  EventLoop loop;
  std::vector<std::unique_ptr<DnsServer>> servers;
  dns_discovery::DnsSettings settings;
  prometheus::Registry registry;
  dns_discovery::DnsMetrics dnsMetrics{registry};
  std::unique_ptr<endpoint_merge::EndpointMerge> merge;
  std::unique_ptr<dns_discovery::DnsDiscovery> discovery;
  std::vector<Entry> merged;
};

TEST_CASE("endpoints are discovered with their addresses") {
  DnsDiscoveryFixture fixture;
  auto body = [&]() -> sched::Task<> {
    co_await fixture.waitForEndpoints(2);
    REQUIRE(fixture.merged[0].name == "s-1.maps.example:6432");
    REQUIRE(fixture.merged[0].address == "127.0.1.1:6432");
    REQUIRE(fixture.merged[0].info.build == 3);
    REQUIRE(fixture.discovery->hasCompletedFirstLookups());
    REQUIRE(fixture.servers[0]->queries == 3);
  };
  fixture.run(body());
  REQUIRE(fixture.loop.logOutput.str().find("DNS records are followed endpoints=2") != std::string::npos);
  REQUIRE(fixture.metrics().find("myrtlehead_names_servers{by=\"set\"} 2") != std::string::npos);
}

TEST_CASE("addresses in the additional section save look-ups") {
  DnsDiscoveryFixture fixture;
  fixture.servers[0]->addsTargetAddresses = true;
  auto body = [&]() -> sched::Task<> { co_await fixture.waitForEndpoints(2); };
  fixture.run(body());
  REQUIRE(fixture.servers[0]->queries == 1);
}

TEST_CASE("TXT records give the build, and AAAA records are looked up if there are no A records") {
  DnsDiscoveryFixture fixture(1, -1);
  auto lines = zoneLines({1});
  lines.push_back("s-1.maps.example. 60 IN TXT \"zone=a\" \"release=9\"");
  lines.push_back(kName + ". 60 IN SRV 0 1 6432 six.maps.example.");
  lines.push_back("six.maps.example. 60 IN AAAA ::1");
  fixture.servers[0]->setZone(lines);
  auto body = [&]() -> sched::Task<> {
    co_await fixture.waitForEndpoints(2);
    while (fixture.merged[0].info.build != 9) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(fixture.merged[1].address == "[::1]:6432");
    REQUIRE(fixture.merged[1].info.build == kUnknownBuild);
  };
  fixture.run(body());
}

// Each fault is tested with a faulty server alone and with a second server that works.
TEST_CASE("faulty and forged responses are rejected, and another server is queried") {
  using enum DnsServer::UdpMode;
  for (const auto fault :
       {silent, wrongId, wrongQuestion, wrongSource, servfail, refused, garbage, compressionLoop}) {
    DnsDiscoveryFixture alone, withSecondServer(2);
    alone.servers[0]->udpMode = withSecondServer.servers[0]->udpMode = fault;
    auto findNothing = [&]() -> sched::Task<> {
      while (alone.servers[0]->queries < 4) co_await alone.loop.sched.sleep(kMillisecond);
      REQUIRE(alone.merged.empty());
    };
    alone.run(findNothing());
    auto findEndpoints = [&]() -> sched::Task<> { co_await withSecondServer.waitForEndpoints(2); };
    withSecondServer.run(findEndpoints());
  }
  for (const auto fault : {truncate, lowercaseQuestion}) {
    DnsDiscoveryFixture fixture;
    fixture.servers[0]->udpMode = fault;
    auto body = [&]() -> sched::Task<> { co_await fixture.waitForEndpoints(2); };
    fixture.run(body());
    REQUIRE(fixture.servers[0]->tcpQueries == 3);
    REQUIRE(fixture.servers[0]->tcpConnections == 1); // the queries are pipelined on one connection
  }
}

TEST_CASE("if TCP fails after a truncated response, the next server is queried") {
  using enum DnsServer::TcpMode;
  for (const auto fault : {closed, silent, truncate}) {
    DnsDiscoveryFixture fixture(2);
    fixture.servers[0]->udpMode = DnsServer::UdpMode::truncate;
    fixture.servers[0]->tcpMode = fault;
    auto body = [&]() -> sched::Task<> { co_await fixture.waitForEndpoints(2); };
    fixture.run(body());
  }
}

// About 64 KB, which is more than a UDP datagram holds.
TEST_CASE("a very large answer is received over TCP") {
  DnsDiscoveryFixture fixture;
  std::vector<std::string> lines;
  for (int i = 0; i < 1800; ++i)
    lines.push_back(kName + ". 60 IN SRV 0 1 " + std::to_string(1000 + i) + " s.maps.example.");
  lines.push_back("s.maps.example. 60 IN A 127.0.1.1");
  fixture.servers[0]->setZone(lines);
  auto body = [&]() -> sched::Task<> { co_await fixture.waitForEndpoints(1800); };
  fixture.run(body());
  REQUIRE(fixture.servers[0]->tcpQueries == 1);
}

TEST_CASE("a loop of aliases is reported as a failure") {
  DnsDiscoveryFixture fixture;
  fixture.servers[0]->setZone({kName + ". 60 IN CNAME a.example.", "a.example. 60 IN CNAME " + kName + "."});
  auto body = [&]() -> sched::Task<> {
    while (fixture.discovery->lastFailure(0).empty()) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(fixture.discovery->lastFailure(0) == "too many aliases");
  };
  fixture.run(body());
}

// A record with TTL 0 must be looked up again after the minimum TTL, not continuously. A TTL of 2^31 counts
// as 0.
TEST_CASE("a TTL of 0 is raised to the minimum TTL") {
  for (const char *ttl : {"0", "2147483648"}) {
    DnsDiscoveryFixture fixture;
    fixture.servers[0]->addsTargetAddresses = true;
    fixture.servers[0]->setZone(
        {kName + ". " + ttl + " IN SRV 0 1 6432 s-1.maps.example.", "s-1.maps.example. 600 IN A 127.0.1.1"});
    auto body = [&]() -> sched::Task<> {
      co_await fixture.waitForEndpoints(1);
      co_await fixture.loop.sched.sleep(400 * kMillisecond);
    };
    fixture.run(body());
    REQUIRE(fixture.servers[0]->queries >= 8);
    REQUIRE(fixture.servers[0]->queries <= 16);
  }
}

// While look-ups fail, the last answer stays in use and counts as stale. Afterwards new answers are applied.
TEST_CASE("endpoints stay in use while DNS look-ups fail") {
  DnsDiscoveryFixture fixture;
  fixture.servers[0]->setZone(zoneLines({1, 2}, 0));
  auto body = [&]() -> sched::Task<> {
    co_await fixture.waitForEndpoints(2);
    fixture.servers[0]->udpMode = DnsServer::UdpMode::servfail;
    while (fixture.merge->statistics().staleSets == 0) co_await fixture.loop.sched.sleep(kMillisecond);
    co_await fixture.loop.sched.sleep(200 * kMillisecond);
    REQUIRE(fixture.merged.size() == 2);
    fixture.servers[0]->udpMode = DnsServer::UdpMode::normal;
    fixture.servers[0]->setZone(zoneLines({1, 2, 3}, 0));
    co_await fixture.waitForEndpoints(3);
  };
  fixture.run(body());
  const auto lines = fixture.loop.logOutput.str();
  REQUIRE(lines.find("DNS records are stale endpoints=2") != std::string::npos);
  REQUIRE(fixture.metrics().find("myrtlehead_names_lookups_total{result=\"failed\"}") != std::string::npos);
}

TEST_CASE("a sudden loss of targets is applied only after further answers confirm it") {
  DnsDiscoveryFixture fixture;
  fixture.servers[0]->setZone(zoneLines({1, 2, 3, 4, 5, 6}));
  fixture.settings.resolution.maxTtl = 50 * kMillisecond;
  fixture.createDiscovery();
  auto body = [&]() -> sched::Task<> {
    co_await fixture.waitForEndpoints(6);
    fixture.servers[0]->setZone(zoneLines({1, 2}));
    while (fixture.merge->statistics().retainedTargets == 0) co_await fixture.loop.sched.sleep(kMillisecond);
    REQUIRE(fixture.merged.size() == 6);
    co_await fixture.waitForEndpoints(2);
  };
  fixture.run(body());
  REQUIRE(fixture.loop.logOutput.str().find("a sudden loss of DNS targets is retained endpoints=6") !=
          std::string::npos);
}

// A start without a state file, then one with a state file while DNS servers do not answer, then one with a
// state file of another format, which is rejected.
TEST_CASE("if DNS servers do not answer at the start, the saved state is used") {
  const auto path =
      (std::filesystem::temp_directory_path() / ("myrtlehead-names-" + std::to_string(getpid()))).string();
  {
    DnsDiscoveryFixture fixture;
    REQUIRE(!fixture.discovery->openStateFile(path, {"names", "n0", 1}, 1'700'000'000 * kSecond));
    auto body = [&]() -> sched::Task<> { co_await fixture.waitForEndpoints(2); };
    fixture.run(body());
    fixture.discovery->saveAtExit();
  }
  {
    DnsDiscoveryFixture fixture;
    fixture.servers[0]->udpMode = DnsServer::UdpMode::silent;
    REQUIRE(fixture.discovery->openStateFile(path, {"names", "n0", 1}, 1'700'000'000 * kSecond));
    auto body = [&]() -> sched::Task<> {
      co_await fixture.waitForEndpoints(2);
      fixture.servers[0]->udpMode = DnsServer::UdpMode::normal;
      fixture.servers[0]->setZone(zoneLines({1, 2, 3}));
      co_await fixture.waitForEndpoints(3);
    };
    fixture.run(body());
    REQUIRE(fixture.merged[2].info.startedAt != 0);
    REQUIRE(fixture.merged[0].info.startedAt == 0); // was in the saved state, so it is not new
    REQUIRE(fixture.loop.logOutput.str().find("saved DNS state is used") != std::string::npos);
  }
  {
    DnsDiscoveryFixture fixture;
    std::ofstream(path) << "myrtlehead names of 'n0', format 0, 1 bytes, xxh3 0\nx";
    REQUIRE(!fixture.discovery->openStateFile(path, {"names", "n0", 1}, 1'700'000'000 * kSecond));
    REQUIRE(fixture.loop.logOutput.str().find("the file has format 0") != std::string::npos);
    auto body = [&]() -> sched::Task<> { co_await fixture.waitForEndpoints(2); };
    fixture.run(body());
  }
  for (const char *end : {"", ".refused"}) std::filesystem::remove(path + end);
}

// Guards against a busy loop and against a flood of queries while no DNS server answers.
TEST_CASE("unanswered look-ups use little CPU time and few queries") {
  DnsDiscoveryFixture fixture;
  fixture.servers[0]->udpMode = DnsServer::UdpMode::silent;
  timespec before{}, after{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &before);
  auto body = [&]() -> sched::Task<> { co_await fixture.loop.sched.sleep(600 * kMillisecond); };
  fixture.run(body());
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &after);
  const auto used = (after.tv_sec - before.tv_sec) * kSecond + after.tv_nsec - before.tv_nsec;
  REQUIRE(used < 200 * kMillisecond);
  REQUIRE(fixture.servers[0]->queries < 60);
}

TEST_CASE("replacing the DNS servers keeps the endpoints") {
  DnsDiscoveryFixture fixture(2);
  fixture.settings.resolution.maxTtl = 50 * kMillisecond;
  fixture.settings.servers.resize(1);
  fixture.createDiscovery();
  auto body = [&]() -> sched::Task<> {
    co_await fixture.waitForEndpoints(2);
    fixture.servers[0]->udpMode = DnsServer::UdpMode::silent;
    fixture.servers[1]->setZone(zoneLines({1, 2, 3}));
    fixture.discovery->setServers({fixture.servers[1]->address()});
    fixture.discovery->setServers({}); // an empty list has no effect
    co_await fixture.waitForEndpoints(3);
  };
  fixture.run(body());
}

// A hundred instances that start at the same time must not send their first queries at the same time.
TEST_CASE("the first look-ups of many instances are spread over time") {
  const auto maxQueriesIn100Ms = [](Nanoseconds spread) {
    EventLoop loop;
    DnsServer dns(loop.sched, loop.budget);
    dns.addsTargetAddresses = true;
    dns.setZone(zoneLines({1, 2}));
    dns_discovery::DnsSettings settings;
    settings.servers = {dns.address()};
    settings.srvNames = {{kName, 3, -1}};
    settings.startSpread = spread;
    prometheus::Registry registry;
    dns_discovery::DnsMetrics dnsMetrics(registry);
    std::deque<endpoint_merge::EndpointMerge> merges;
    std::deque<dns_discovery::DnsDiscovery> instances;
    for (std::uint64_t i = 0; i < 100; ++i) {
      merges.emplace_back(settings.merge, settings.resolution.staleTime, 0, subsetting::Subset(1, 0, 0));
      instances.emplace_back(loop.sched, loop.budget, merges.back(), settings, i, loop.log, dnsMetrics);
      loop.sched.spawn(instances.back().run(dns_discovery::FirstLookups::spread));
    }
    auto body = [&]() -> sched::Task<> { co_await loop.sched.sleep(1500 * kMillisecond); };
    loop.run(body());
    REQUIRE(dns.queries == 100);
    int maxCount = 0;
    for (const auto t : dns.queryTimes)
      maxCount = std::max(maxCount, static_cast<int>(std::count_if(
                                        dns.queryTimes.begin(), dns.queryTimes.end(), [&](Nanoseconds o) {
                                          return o >= t && o < t + 100 * kMillisecond;
                                        })));
    return maxCount;
  };
  REQUIRE(maxQueriesIn100Ms(0) > 90);
  REQUIRE(maxQueriesIn100Ms(kSecond) < 30);
}
