// XML as answers of control planes hold it, as far as it is used here: elements and the five named entities.
#pragma once

#include "format/http/form.h"

namespace myrtlehead::http {

// Appends each element that holds text alone, with its trimmed text, in the order of the document. False: the
// text is not well-formed.
bool parseXml(std::string_view text, Fields &leaves);

} // namespace myrtlehead::http
