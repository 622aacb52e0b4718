// A fleet on loopback for the laboratory and for trying out an instance: nodes, discovery and the platform in
// one process. It speaks the formats of the real services and uses the project's own parsers.
// Limitation: figures measured against it say nothing about real nodes.
#pragma once

#include "base/net/socket.h"
#include "format/http/http.h"
#include "lab/node.h"

#include <deque>
#include <memory>

namespace myrtlehead::lab {

class Fleet {
public:
  struct Settings {
    net::Address discoveryAddress, platformAddress;
    int build = 1;
    std::vector<std::pair<std::string, net::Address>> nodes; // names and addresses
    std::vector<double> stageCaps;                           // exposure cap of each rollout stage
    ServiceModel work = {};
    std::uint64_t seed = 1;
  };
  Fleet(net::Scheduler &sched, net::DescriptorBudget &budget, const Settings &settings);

  std::string discoveryAddress() const { return text(*discovery_); }
  std::string platformAddress() const { return text(*platform_); }
  // The endpoint list in discovery's JSON format: a snapshot, or only the endpoints that changed after
  // `afterVersion`.
  std::string endpointListJson(bool isSnapshot, std::uint64_t afterVersion) const;
  // The rollout state as a URL-encoded form, as the platform sends it.
  std::string rolloutState() const;

  // Starts the rollout of a build. Every request to a bad build fails. Returns false if a rollout is active
  // or the build number is not above the newest one.
  bool offerBuild(int build, bool isBad);
  // Drains the node and then removes it. Returns false if no node of this name is in service.
  bool drainNode(const std::string &name);
  // Applies a vote. Returns false if the vote refers to another build, or is a vote to promote another stage
  // than the one in progress.
  bool recordVote(const http::Fields &vote);

  // The members below are for the laboratory only.

  EmulatedNode *findNode(const std::string &name);
  std::vector<std::string> nodesInService() const;
  // Lists the node as terminating for `duration`, then as in service again.
  net::Task<> drainNodeFor(std::string name, net::Nanoseconds duration);
  // SRV, A and TXT records of the nodes in service. Terminating nodes keep their records too, unless
  // `omitsTerminating` is set.
  std::vector<std::string> dnsRecords(const std::string &service, int ttlSeconds,
                                      bool omitsTerminating) const;
  EffectLedger ledger;
  bool isDiscoverySilent = false; // discovery sends nothing on its watches, not even keep-alives
  bool listsNoEndpoints = false;  // discovery sends an empty endpoint list
  double exposureCap() const { return exposureCap_; }
  bool isRolloutActive() const { return phase_ == "Progressing" || phase_ == "Aborting"; }
  int newestBuild() const { return newestBuild_; }
  const std::string &phase() const { return phase_; }
  // How many times the stage or phase of a rollout has been set.
  int rolloutUpdates() const { return rolloutUpdates_; }
  sched::Event &listChanged() { return listChanged_; }

private:
  struct Endpoint {
    std::string name, status = "in_service";
    int build = 0;
    long long startedAtUnixMs = 0; // 0: long ago
    std::uint64_t version = 0;     // version of the endpoint list that last changed this endpoint
    std::unique_ptr<EmulatedNode> node;
  };
  using Handler = net::Task<bool> (Fleet::*)(net::Socket &, const http::Head &, const std::string &);

  static std::string text(const net::Socket &listener);
  Endpoint &startNode(std::string name, net::Address address, int build, bool isBad,
                      long long startedAtUnixMs);
  net::Task<> acceptConnections(net::Socket &listener, Handler handler);
  net::Task<> serveConnection(std::unique_ptr<net::Socket> socket, Handler handler);
  net::Task<bool> answerDiscovery(net::Socket &socket, const http::Head &head, const std::string &body);
  net::Task<bool> answerPlatform(net::Socket &socket, const http::Head &head, const std::string &body);
  // Replaces the current stage's share of the nodes by nodes that run the newest build.
  net::Task<> startStageNodes();
  // Replaces the nodes of the newest build by nodes that run the released build.
  net::Task<> rollBack();
  // Lists the node as terminating, then as terminated.
  net::Task<> drain(Endpoint &endpoint);
  void markChanged(Endpoint &endpoint);
  void setRollout(int stage, const char *phase, double exposureCap);

  net::Scheduler &sched_;
  net::DescriptorBudget &budget_;
  std::unique_ptr<net::Socket> discovery_, platform_;
  std::deque<Endpoint> endpoints_;
  std::uint64_t listVersion_ = 1;
  std::vector<double> stageCaps_;
  ServiceModel work_;
  std::uint64_t seed_ = 1;
  int releasedBuild_ = 0, newestBuild_ = 0, stage_ = 0, startedNodes_ = 0, rolloutUpdates_ = 0;
  bool isNewestBuildBad_ = false;
  std::string phase_ = "Healthy";
  double exposureCap_ = 1;
  net::Nanoseconds rolloutUpdatedAt_ = 0;
  sched::Event listChanged_, rolloutChanged_;
};

} // namespace myrtlehead::lab
