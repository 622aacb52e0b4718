// Nodes, discovery and platform in a separate process, for measurements of one instance's costs.
#pragma once

#include "lab/node.h"

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>

namespace myrtlehead::lab {

// A forked process, which is killed when this object is destroyed.
struct ChildProcess {
  pid_t pid = 0;
  ChildProcess() = default;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess();
};

// Starts eight nodes with this service model, and their discovery and platform. Returns "discovery" and
// "platform" (addresses), "known" (the endpoint list) and "servers" (the nodes' addresses).
nlohmann::json startBenchFleet(ChildProcess &child, const ServiceModel &work);

// Writes the configuration of an instance that uses that fleet into the folder. Returns the file's path.
std::string writeBenchConfig(const nlohmann::json &fleet, const std::string &folder);

} // namespace myrtlehead::lab
