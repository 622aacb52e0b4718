// The output format of the sub-commands that print a result.
#pragma once

namespace myrtlehead::app {

enum class OutputFormat { text, json };

} // namespace myrtlehead::app
