#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string_type.hpp>

#include <QByteArray>

namespace lacewingmux {

/** Returns a copy of text that Beast's parser only keeps valid during a callback. */
[[nodiscard]] inline QByteArray toBytes(boost::beast::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

/** Feeds the pending bytes to the parser and removes those that it consumed. */
template <typename Parser>
[[nodiscard]] boost::beast::error_code parsePending(Parser &parser, QByteArray &pending)
{
    boost::beast::error_code error;
    const std::size_t used =
            parser.put(boost::asio::const_buffer(pending.constData(),
                                                 static_cast<std::size_t>(pending.size())),
                       error);
    pending.remove(0, static_cast<qsizetype>(used));
    return error;
}

} // namespace lacewingmux
