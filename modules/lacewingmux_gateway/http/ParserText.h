#pragma once

#include <boost/beast/core/string_type.hpp>

#include <QByteArray>

namespace lacewingmux {

/** Returns a copy of text that Beast's parser lends for the time of a call. */
[[nodiscard]] inline QByteArray toBytes(boost::beast::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

} // namespace lacewingmux
