// toy_fleet CONFIGURATION: emulates the nodes, discovery and platform that an instance's configuration names,
// at the addresses that the configuration gives.
#include "app/bootstrap/bootstrap_config.h"
#include "format/json/json.h"
#include "lab/fleet.h"

#include <csignal>
#include <iostream>

namespace {

using namespace myrtlehead;

lab::Fleet::Settings readFleetSettings(const bootstrap::BootstrapConfig &config) {
  lab::Fleet::Settings out{
      config.discoveryAddress, config.platformAddress, 1, {}, config.deployment.rollout.stageCaps};
  if (const auto *build = config.rolloutState.find("build")) out.build = static_cast<int>(build->numberValue);
  const auto *endpoints = config.knownEndpoints.find("endpoints");
  if (endpoints != nullptr)
    for (const auto &e : endpoints->items) {
      const auto *name = e.find("name"), *address = e.find("address");
      const auto at = address != nullptr ? net::parseAddress(address->text) : std::nullopt;
      if (name != nullptr && at) out.nodes.emplace_back(name->text, *at);
    }
  if (out.nodes.empty() || out.stageCaps.empty())
    throw bootstrap::ConfigError(
        "the configuration must name at least one endpoint (known.endpoints) and one stage "
        "(settings.familyInfo.caps)");
  return out;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: toy_fleet CONFIGURATION\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto config = bootstrap::readBootstrapConfig(bootstrap::readFile(argv[1]));
    sched::Scheduler sched;
    sched.onUncaughtException = [](const char *what) { std::cerr << "toy_fleet: " << what << '\n'; };
    net::DescriptorBudget budget(1000);
    lab::Fleet fleet(sched, budget, readFleetSettings(config));
    std::cout << "discovery at " << fleet.discoveryAddress() << ", platform at " << fleet.platformAddress()
              << std::endl;
    sched.run();
  } catch (const std::exception &e) {
    std::cerr << "toy_fleet: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
