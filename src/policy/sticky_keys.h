// Keeps a key on the newest build that has answered it: if the deployment enables sticky keys, a key that a
// build has answered through this instance goes to no earlier build until that build is rolled back.
#pragma once

#include "policy/deployment.h"
#include "policy/request.h"
#include "policy/rollout_types.h"

#include <map>

namespace myrtlehead {

class StickyKeys {
public:
  explicit StickyKeys(const Deployment &deployment) : isEnabled_(deployment.rollout.stickyKeys) {}

  // Whether the request may go to the endpoint.
  bool allows(const Request &request, const Endpoint &endpoint) const;
  // An attempt of the request has succeeded at the build.
  void onSuccess(const Request &request, int build);
  // The build is rolled back: keys that it or a later build has answered may go to any build again.
  void onRollback(int build);

private:
  friend struct PolicyTestPeer;
  bool isEnabled_;
  std::map<std::uint64_t, int> builds_; // by key: the build that answered it last
};

} // namespace myrtlehead
