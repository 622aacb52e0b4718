// Decodes a deployment's settings, once at the start, into the policy's terms. The operators' paths and words
// for them end here.
#pragma once

#include "app/bootstrap/config_paths.h"
#include "policy/deployment.h"

namespace myrtlehead::bootstrap {

// Throws ConfigError where a value is out of range or its word is unknown. What is absent has its default;
// unknown paths are ignored.
Deployment readDeployment(const ConfigPaths &in);

} // namespace myrtlehead::bootstrap
