#include "app/check.h"

#include "app/bootstrap/bootstrap_config.h"
#include "app/settings/settings.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace myrtlehead::app {

namespace {

// "... at byte 17" of the parser, as a line.
int lineOf(const std::string &text, const std::string &why) {
  const auto at = why.rfind("at byte ");
  if (at == std::string::npos) return 0;
  const auto byte = std::min<std::size_t>(std::strtoul(why.c_str() + at + 8, nullptr, 10), text.size());
  return 1 +
         static_cast<int>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(byte), '\n'));
}

bool isConfiguration(const std::string &text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  return first != std::string::npos && text[first] == '{';
}

// The key that a sentence of the decoder quotes, and where it stands.
settings::Fault faultOf(const std::string &text, const std::string &why) {
  settings::Fault out{lineOf(text, why), "", why};
  const auto open = why.find('\''), close = why.find('\'', open + 1);
  if (out.line > 0 || open == std::string::npos || close == std::string::npos) return out;
  out.key = why.substr(open + 1, close - open - 1);
  const auto at = text.find('"' + out.key + '"');
  if (at != std::string::npos)
    out.line = 1 + static_cast<int>(
                       std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
  return out;
}

std::vector<settings::Fault> faultsIn(const std::string &file) {
  std::string text;
  try {
    text = bootstrap::readFile(file);
    if (!isConfiguration(text)) return settings::readSettings(text, {}).faults;
    bootstrap::readStation(text);
    return {};
  } catch (const std::exception &e) {
    return {faultOf(text, e.what())};
  }
}

} // namespace

int check(const std::vector<std::string> &files, bool json) {
  nlohmann::json out = nlohmann::json::array();
  bool any = false;
  for (const auto &file : files) {
    const auto faults = faultsIn(file);
    any |= !faults.empty();
    if (!json && faults.empty()) fmt::print("{}: fine\n", file);
    for (const auto &fault : faults) {
      if (!json) fmt::print("{}\n", settings::text(file, fault));
      out.push_back({{"file", file}, {"line", fault.line}, {"key", fault.key}, {"what", fault.what}});
    }
  }
  if (json) fmt::print("{}\n", nlohmann::json{{"fine", !any}, {"faults", out}}.dump(2));
  return any ? 1 : 0;
}

} // namespace myrtlehead::app
