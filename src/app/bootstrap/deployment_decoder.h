// What the guard is told at its start, decoded once: from the path=value lines of the simulator's wire or
// from the JSON of an instance's configuration, by the same paths.
#pragma once

#include "format/json/json.h"
#include "policy/deployment.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace myrtlehead::bootstrap {

// Something is missing or out of range; what() says what and where.
struct SetupError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Values by their path; a list of plain values is joined by commas, one of objects has its length under
// .count.
class Paths {
public:
  static Paths ofLines(std::string_view text);
  static Paths ofJson(const json::Value &object);

  std::string_view word(const std::string &path, std::string_view absent) const;
  double real(const std::string &path, double absent) const;
  long whole(const std::string &path, long absent, long least, long most) const;
  Nanoseconds micros(const std::string &path, Nanoseconds absent) const;
  bool flag(const std::string &path) const;
  std::vector<std::string> list(const std::string &path) const;
  std::vector<double> reals(const std::string &path) const;

private:
  void add(const std::string &path, const json::Value &value);
  std::unordered_map<std::string, std::string> at_;
};

Deployment readDeployment(const Paths &in);

} // namespace myrtlehead::bootstrap
