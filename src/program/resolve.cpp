#include "program/resolve.h"

#include "follow/names/names.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <prometheus/registry.h>
#include <random>
#include <unistd.h>

namespace myrtlehead::program {

namespace {

sched::Task<> wait(sched::Scheduler &sched, const names::Names &names, sched::Ns until) {
  do co_await sched.sleep(kMs * 5);
  while (!names.settled() && sched.now() < until);
  sched.halt();
}

std::string buildOf(const Listing &listing) {
  return listing.build == kUnknownBuild ? "unknown" : std::to_string(listing.build);
}

nlohmann::json setOut(const names::Names &names, const std::string &name, std::size_t number, sched::Ns now) {
  const dns::Question question{*dns::canonical(name), dns::Type::srv};
  constexpr const char *kAges[] = {"never", "fresh", "stale", "expired"};
  const auto &agenda = names.agenda();
  nlohmann::json out{{"name", name}, {"state", kAges[static_cast<int>(agenda.age(question, now))]}};
  if (agenda.goodAt(question) != 0) {
    out["age_ms"] = (now - agenda.goodAt(question)) / kMs;
    out["lifetime_left_ms"] = (agenda.goodUntil(question) - now) / kMs;
  }
  if (!names.lastFailure(number).empty()) out["cause"] = names.lastFailure(number);
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
  fmt::print("{:<40} {:<28} {:>5} {:>7} {:>8}\n", "SERVER", "ADDRESS", "GROUP", "WEIGHT", "BUILD");
  for (const auto &s : out["servers"])
    fmt::print("{:<40} {:<28} {:>5} {:>7.2f} {:>8}\n", s["name"].get<std::string>(),
               s["address"].get<std::string>(), s["group"].get<int>(), s["weight"].get<double>(),
               s["build"].get<std::string>());
}

} // namespace

int resolve(const std::vector<std::string> &asked, const std::vector<net::Address> &servers, sched::Ns within,
            bool json, log::Levels levels) {
  names::Naming naming;
  naming.servers = servers;
  for (const auto &name : asked) naming.sets.push_back({name, -1, -1});
  sched::Scheduler sched;
  net::Descriptors budget(512);
  log::Logs logs(STDERR_FILENO, log::Form::text, std::move(levels));
  prometheus::Registry registry;
  names::Counters counters(registry);
  sources::Sources sources(naming.prudence, naming.resolution.staleMost, 0, subset::Subset(1, 0, 0));
  std::random_device device;
  names::Names names(sched, budget, sources, naming, (std::uint64_t{device()} << 32) | device(),
                     logs.of("names"), counters);
  names.changed = [&] { sources.merged(sched.now()); };
  sched.spawn(names.run(false));
  sched.spawn(wait(sched, names, sched.now() + within));
  sched.run();
  const auto now = sched.now();
  nlohmann::json out{{"sets", nlohmann::json::array()}, {"servers", nlohmann::json::array()}};
  for (std::size_t i = 0; i < asked.size(); ++i) out["sets"].push_back(setOut(names, asked[i], i, now));
  for (const auto &e : sources.merged(now))
    out["servers"].push_back({{"name", e.name},
                              {"address", e.address},
                              {"group", e.listing.tier},
                              {"weight", e.listing.weight},
                              {"build", buildOf(e.listing)},
                              {"source", "names"}});
  const bool known = !out["servers"].empty();
  if (json)
    fmt::print("{}\n", out.dump(2));
  else
    print(out);
  sched.endAll();
  return known ? 0 : 1;
}

} // namespace myrtlehead::program
