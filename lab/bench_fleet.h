// Nodes, discovery and platform in a process of their own, for measures of one instance's costs.
#pragma once

#include "lab/node.h"

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>

namespace myrtlehead::lab {

// A forked process that is killed with this object.
struct ChildProcess {
  pid_t pid = 0;
  ChildProcess() = default;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess();
};

// Starts eight nodes that work so, with their discovery and platform; returns their addresses: "discovery",
// "platform", "known" (the node list) and "servers".
nlohmann::json startBenchFleet(ChildProcess &child, const ServiceModel &work);

// Writes the configuration of an instance before that fleet into the folder; returns the file's path.
std::string writeBenchConfig(const nlohmann::json &fleet, const std::string &folder);

} // namespace myrtlehead::lab
