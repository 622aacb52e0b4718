// Keeps a key with the builds that have answered it: where the deployment says so, a key that a build has
// answered through this instance goes to no earlier build, until that build is rolled back.
#pragma once

#include "policy/deployment.h"
#include "policy/request.h"
#include "policy/rollout_types.h"

#include <map>

namespace myrtlehead {

class StickyKeys {
public:
  explicit StickyKeys(const Deployment &deployment) : isEnabled_(deployment.rollout.stickyKeys) {}

  bool allows(const Request &request, const Endpoint &endpoint) const;
  // An attempt of the request has succeeded at that build.
  void onSuccess(const Request &request, int build);
  // The build is taken off: its keys may return to earlier ones.
  void onRollback(int build);

private:
  friend struct PolicyTestPeer;
  bool isEnabled_;
  std::map<std::uint64_t, int> builds_; // by key, the build that answered it last
};

} // namespace myrtlehead
