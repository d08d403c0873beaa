#include "lacewingmux_http/server/CallerRequest.h"

#include <algorithm>

namespace lacewingmux {

QByteArray CallerRequest::header(const QByteArray &name) const
{
    const auto found = std::find_if(this->headers.begin(), this->headers.end(),
                                    [&name](const HttpHeader &header) {
                                        return header.name.compare(name, Qt::CaseInsensitive) == 0;
                                    });
    return found == this->headers.end() ? QByteArray() : found->value;
}

} // namespace lacewingmux
