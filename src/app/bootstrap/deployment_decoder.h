// Decodes the settings of a deployment, once at startup, into the types of the policy. No other code uses the
// paths and keywords of these settings.
#pragma once

#include "app/bootstrap/config_paths.h"
#include "policy/deployment.h"

namespace myrtlehead::bootstrap {

// Throws ConfigError if a value is out of range or a keyword is unknown. Missing values take their defaults;
// unknown paths are ignored.
Deployment readDeployment(const ConfigPaths &in);

} // namespace myrtlehead::bootstrap
