#include "app/check.h"

#include "app/bootstrap/bootstrap_config.h"
#include "app/settings/settings.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace myrtlehead::app {

namespace {

// Returns the line number, from 1, of the character at `offset`.
int lineOfOffset(const std::string &text, std::size_t offset) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

// Returns the line of the byte offset in a JSON parser error such as "... at byte 17", or 0 if there is none.
int lineOfParseError(const std::string &text, const std::string &error) {
  constexpr std::string_view kMarker = "at byte ";
  const auto marker = error.rfind(kMarker);
  if (marker == std::string::npos) return 0;
  return lineOfOffset(text, std::strtoul(error.c_str() + marker + kMarker.size(), nullptr, 10));
}

// Files that start with "{" are configurations in JSON; all other files are settings in TOML.
bool isConfiguration(const std::string &text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  return first != std::string::npos && text[first] == '{';
}

// Returns the error with the key between the first two apostrophes of its message, and with the line on which
// this key first occurs in `text`.
settings::SettingsError locateError(const std::string &text, const std::string &error) {
  settings::SettingsError located{lineOfParseError(text, error), "", error};
  const auto open = error.find('\'');
  const auto close = error.find('\'', open + 1);
  if (located.line > 0 || open == std::string::npos || close == std::string::npos) return located;
  located.key = error.substr(open + 1, close - open - 1);
  const auto offset = text.find('"' + located.key + '"');
  if (offset != std::string::npos) located.line = lineOfOffset(text, offset);
  return located;
}

std::vector<settings::SettingsError> findErrors(const std::string &file) {
  std::string text;
  try {
    text = bootstrap::readFile(file);
    if (!isConfiguration(text)) return settings::readSettings(text, {}).errors;
    bootstrap::readBootstrapConfig(text);
    return {};
  } catch (const std::exception &e) {
    return {locateError(text, e.what())};
  }
}

void printText(const std::string &file, const std::vector<settings::SettingsError> &errors) {
  if (errors.empty()) fmt::print("{}: fine\n", file);
  for (const auto &error : errors) fmt::print("{}\n", settings::formatError(file, error));
}

} // namespace

int check(const std::vector<std::string> &files, OutputFormat format) {
  nlohmann::json allErrors = nlohmann::json::array();
  for (const auto &file : files) {
    const auto errors = findErrors(file);
    if (format == OutputFormat::text) printText(file, errors);
    for (const auto &error : errors)
      allErrors.push_back(
          {{"file", file}, {"line", error.line}, {"key", error.key}, {"what", error.message}});
  }
  const bool isValid = allErrors.empty();
  if (format == OutputFormat::json)
    fmt::print("{}\n", nlohmann::json{{"fine", isValid}, {"faults", allErrors}}.dump(2));
  return isValid ? 0 : 1;
}

} // namespace myrtlehead::app
