#include "app/check.h"

#include "app/bootstrap/bootstrap_config.h"
#include "app/settings/settings.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace myrtlehead::app {

namespace {

// The line, from 1, that holds the character at this offset.
int lineOfOffset(const std::string &text, std::size_t offset) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

// The line of the JSON parser's "... at byte 17"; 0 where the error has none.
int lineOfParseError(const std::string &text, const std::string &error) {
  constexpr std::string_view kMarker = "at byte ";
  const auto marker = error.rfind(kMarker);
  if (marker == std::string::npos) return 0;
  return lineOfOffset(text, std::strtoul(error.c_str() + marker + kMarker.size(), nullptr, 10));
}

// Configurations are JSON objects; anything else is read as settings.
bool isConfiguration(const std::string &text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  return first != std::string::npos && text[first] == '{';
}

// The key that the decoder's error quotes, and the line of its first use in the text.
settings::SettingsFault faultOf(const std::string &text, const std::string &error) {
  settings::SettingsFault out{lineOfParseError(text, error), "", error};
  const auto open = error.find('\'');
  const auto close = error.find('\'', open + 1);
  if (out.line > 0 || open == std::string::npos || close == std::string::npos) return out;
  out.key = error.substr(open + 1, close - open - 1);
  const auto offset = text.find('"' + out.key + '"');
  if (offset != std::string::npos) out.line = lineOfOffset(text, offset);
  return out;
}

std::vector<settings::SettingsFault> faultsIn(const std::string &file) {
  std::string text;
  try {
    text = bootstrap::readFile(file);
    if (!isConfiguration(text)) return settings::readSettings(text, {}).faults;
    bootstrap::readBootstrapConfig(text);
    return {};
  } catch (const std::exception &e) {
    return {faultOf(text, e.what())};
  }
}

void printText(const std::string &file, const std::vector<settings::SettingsFault> &faults) {
  if (faults.empty()) fmt::print("{}: fine\n", file);
  for (const auto &fault : faults) fmt::print("{}\n", settings::text(file, fault));
}

} // namespace

int check(const std::vector<std::string> &files, OutputForm form) {
  nlohmann::json out = nlohmann::json::array();
  for (const auto &file : files) {
    const auto faults = faultsIn(file);
    if (form == OutputForm::text) printText(file, faults);
    for (const auto &fault : faults)
      out.push_back({{"file", file}, {"line", fault.line}, {"key", fault.key}, {"what", fault.what}});
  }
  const bool isFine = out.empty();
  if (form == OutputForm::json) fmt::print("{}\n", nlohmann::json{{"fine", isFine}, {"faults", out}}.dump(2));
  return isFine ? 0 : 1;
}

} // namespace myrtlehead::app
