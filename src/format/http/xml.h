// A parser for the subset of XML in control-plane responses: elements and the five predefined entities.
#pragma once

#include "format/http/form.h"

namespace myrtlehead::http {

// Appends each element without child elements to `leaves`, with its trimmed text, in document order. Returns
// false if the text is not well-formed.
bool parseXml(std::string_view text, Fields &leaves);

} // namespace myrtlehead::http
