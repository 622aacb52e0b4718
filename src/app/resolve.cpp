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

sched::Task<> wait(sched::Scheduler &sched, const dns_discovery::DnsDiscovery &names,
                   sched::Nanoseconds until) {
  do co_await sched.sleep(kMillisecond * 5);
  while (!names.settled() && sched.now() < until);
  sched.halt();
}

nlohmann::json setOut(const dns_discovery::DnsDiscovery &names, const std::string &name, std::size_t number,
                      sched::Nanoseconds now) {
  const dns::Question question{*dns::canonical(name), dns::Type::srv};
  constexpr const char *kAges[] = {"never", "fresh", "stale", "expired"};
  const auto &agenda = names.agenda();
  nlohmann::json out{{"name", name}, {"state", kAges[static_cast<int>(agenda.age(question, now))]}};
  if (agenda.goodAt(question) != 0) {
    out["age_ms"] = (now - agenda.goodAt(question)) / kMillisecond;
    out["lifetime_left_ms"] = (agenda.goodUntil(question) - now) / kMillisecond;
  }
  if (!names.lastFailure(number).empty()) out["cause"] = names.lastFailure(number);
  return out;
}

// Each address of each target, as the names tell it.
nlohmann::json serversOut(const dns_discovery::DnsDiscovery &names,
                          const endpoint_merge::EndpointMerge &sources, sched::Nanoseconds now) {
  nlohmann::json out = nlohmann::json::array();
  const auto past = sources.past();
  for (const auto &set : past.sets)
    for (const auto &server : set.servers) {
      const auto host = std::find_if(past.hosts.begin(), past.hosts.end(),
                                     [&](const auto &h) { return h.name == server.target.host; });
      const auto until = std::max(names.agenda().goodUntil({server.target.host, dns::Type::a}),
                                  names.agenda().goodUntil({server.target.host, dns::Type::aaaa}));
      const auto addresses = host == past.hosts.end() ? std::vector<std::string>{} : host->addresses;
      for (const auto &address : addresses)
        out.push_back({{"name", server.target.host},
                       {"address", address + ":" + std::to_string(server.target.port)},
                       {"priority", server.target.priority},
                       {"weight", server.target.weight},
                       {"build", host->release < 0 ? "unknown" : std::to_string(host->release)},
                       {"lifetime_left_ms", (std::min(set.goodUntil, until) - now) / kMillisecond},
                       {"age_ms", (now - set.goodAt) / kMillisecond},
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
  for (const auto &s : out["servers"])
    fmt::print("{:<36} {:<26} {:>8} {:>6} {:>8} {:>8.1f} {:>6.1f}\n", s["name"].get<std::string>(),
               s["address"].get<std::string>(), s["priority"].get<int>(), s["weight"].get<int>(),
               s["build"].get<std::string>(), s["lifetime_left_ms"].get<double>() / 1000,
               s["age_ms"].get<double>() / 1000);
}

} // namespace

int resolve(const std::vector<std::string> &asked, const std::vector<net::Address> &servers,
            sched::Nanoseconds within, bool json, log::Levels levels) {
  dns_discovery::DnsSettings naming;
  naming.servers = servers;
  for (const auto &name : asked) naming.sets.push_back({name, -1, -1});
  sched::Scheduler sched;
  net::DescriptorBudget budget(512);
  log::Logs logs(STDERR_FILENO, log::Format::text, std::move(levels));
  prometheus::Registry registry;
  dns_discovery::DnsMetrics counters(registry);
  endpoint_merge::EndpointMerge sources(naming.prudence, naming.resolution.staleMost, 0,
                                        subsetting::Subset(1, 0, 0));
  std::random_device device;
  dns_discovery::DnsDiscovery names(sched, budget, sources, naming,
                                    (std::uint64_t{device()} << 32) | device(), logs.forPackage("names"),
                                    counters);
  names.changed = [&] { sources.merged(sched.now()); };
  sched.spawn(names.run(false));
  sched.spawn(wait(sched, names, sched.now() + within));
  sched.run();
  const auto now = sched.now();
  nlohmann::json out{{"sets", nlohmann::json::array()}, {"servers", nlohmann::json::array()}};
  for (std::size_t i = 0; i < asked.size(); ++i) out["sets"].push_back(setOut(names, asked[i], i, now));
  out["servers"] = serversOut(names, sources, now);
  const bool known = !out["servers"].empty();
  if (json)
    fmt::print("{}\n", out.dump(2));
  else
    print(out);
  sched.destroyAllTasks();
  return known ? 0 : 1;
}

} // namespace myrtlehead::app
