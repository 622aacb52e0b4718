#include "app/resolve.h"

#include "control/dns/dns_discovery.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>
#include <random>
#include <unistd.h>

namespace myrtlehead::app {

namespace {

constexpr int kMaxDescriptors = 512;
constexpr sched::Nanoseconds kPollInterval = 5 * kMillisecond;

// Stops the scheduler when all look-ups have finished, or at `deadline`.
sched::Task<> haltAfterLookups(sched::Scheduler &sched, const dns_discovery::DnsDiscovery &discovery,
                               sched::Nanoseconds deadline) {
  do co_await sched.sleep(kPollInterval);
  while (!discovery.hasCompletedFirstLookups() && sched.now() < deadline);
  sched.halt();
}

nlohmann::json describeSrvName(const dns_discovery::DnsDiscovery &discovery, const std::string &name,
                               std::size_t index, sched::Nanoseconds now) {
  const dns::Question question{*dns::canonical(name), dns::Type::srv};
  constexpr const char *kStates[] = {"never", "fresh", "stale", "expired"};
  const auto &schedule = discovery.schedule();
  const auto *state = kStates[static_cast<int>(schedule.freshness(question, now))];
  nlohmann::json out{{"name", name}, {"state", state}};
  if (schedule.answeredAt(question) != 0) {
    out["age_ms"] = (now - schedule.answeredAt(question)) / kMillisecond;
    out["lifetime_left_ms"] = (schedule.validUntil(question) - now) / kMillisecond;
  }
  if (!discovery.lastFailure(index).empty()) out["cause"] = discovery.lastFailure(index);
  return out;
}

// Describes each address of each target in the DNS records.
nlohmann::json describeEndpoints(const dns_discovery::DnsDiscovery &discovery,
                                 const endpoint_merge::EndpointMerge &merge, sched::Nanoseconds now) {
  nlohmann::json out = nlohmann::json::array();
  const auto snapshot = merge.snapshot();
  const auto &schedule = discovery.schedule();
  for (const auto &set : snapshot.sets)
    for (const auto &savedTarget : set.targets) {
      const auto &target = savedTarget.target;
      const auto host = std::find_if(snapshot.hosts.begin(), snapshot.hosts.end(),
                                     [&](const auto &known) { return known.name == target.host; });
      if (host == snapshot.hosts.end()) continue;
      const auto addressesUntil = std::max(schedule.validUntil({target.host, dns::Type::a}),
                                           schedule.validUntil({target.host, dns::Type::aaaa}));
      for (const auto &address : host->addresses)
        out.push_back({{"name", target.host},
                       {"address", address + ":" + std::to_string(target.port)},
                       {"priority", target.priority},
                       {"weight", target.weight},
                       {"build", host->release < 0 ? "unknown" : std::to_string(host->release)},
                       {"lifetime_left_ms", (std::min(set.validUntil, addressesUntil) - now) / kMillisecond},
                       {"age_ms", (now - set.answeredAt) / kMillisecond},
                       {"source", set.name}});
    }
  return out;
}

void print(const nlohmann::json &out) {
  for (const auto &set : out["sets"]) {
    fmt::print("{}: {}", set["name"].get<std::string>(), set["state"].get<std::string>());
    if (set.contains("lifetime_left_ms"))
      fmt::print(", {:.1f} s left", set["lifetime_left_ms"].get<double>() / 1000);
    if (set.contains("cause")) fmt::print(" ({})", set["cause"].get<std::string>());
    fmt::print("\n");
  }
  if (out["servers"].empty()) return;
  fmt::print("{:<36} {:<26} {:>8} {:>6} {:>8} {:>8} {:>6}\n", "SERVER", "ADDRESS", "PRIORITY", "WEIGHT",
             "BUILD", "LEFT S", "AGE S");
  for (const auto &server : out["servers"])
    fmt::print("{:<36} {:<26} {:>8} {:>6} {:>8} {:>8.1f} {:>6.1f}\n", server["name"].get<std::string>(),
               server["address"].get<std::string>(), server["priority"].get<int>(),
               server["weight"].get<int>(), server["build"].get<std::string>(),
               server["lifetime_left_ms"].get<double>() / 1000, server["age_ms"].get<double>() / 1000);
}

} // namespace

int resolve(const std::vector<std::string> &names, const std::vector<net::Address> &servers,
            sched::Nanoseconds timeout, OutputFormat format, log::Levels levels) {
  dns_discovery::DnsSettings settings;
  settings.servers = servers;
  for (const auto &name : names) settings.srvNames.push_back({name, -1, -1});
  sched::Scheduler sched;
  net::DescriptorBudget budget(kMaxDescriptors);
  log::Logs logs(STDERR_FILENO, log::Format::text, std::move(levels));
  prometheus::Registry registry;
  dns_discovery::DnsMetrics metrics(registry);
  endpoint_merge::EndpointMerge merge(settings.merge, settings.resolution.staleTime, 0,
                                      subsetting::Subset(1, 0, 0));
  std::random_device device;
  const auto seed = (std::uint64_t{device()} << 32) | device();
  dns_discovery::DnsDiscovery discovery(sched, budget, merge, settings, seed, logs.forPackage("names"),
                                        metrics);
  discovery.onChange = [&] { merge.mergedEndpoints(sched.now()); };
  sched.spawn(discovery.run(dns_discovery::FirstLookups::immediate));
  sched.spawn(haltAfterLookups(sched, discovery, sched.now() + timeout));
  sched.run();
  const auto now = sched.now();
  nlohmann::json out{{"sets", nlohmann::json::array()}, {"servers", nlohmann::json::array()}};
  for (std::size_t i = 0; i < names.size(); ++i)
    out["sets"].push_back(describeSrvName(discovery, names[i], i, now));
  out["servers"] = describeEndpoints(discovery, merge, now);
  const bool hasEndpoints = !out["servers"].empty();
  if (format == OutputFormat::json)
    fmt::print("{}\n", out.dump(2));
  else
    print(out);
  sched.destroyAllTasks();
  return hasEndpoints ? 0 : 1;
}

} // namespace myrtlehead::app
