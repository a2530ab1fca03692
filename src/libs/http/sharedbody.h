#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::Http {

/// The body of a message. Copies share its bytes, so that a request which is sent several times
/// occupies memory for one body.
class SharedBody
{
public:
    SharedBody() = default;
    SharedBody(std::string text) // NOLINT(google-explicit-constructor)
    {
        if (!text.empty())
            m_text = std::make_shared<const std::string>(std::move(text));
    }
    SharedBody(const char *text) // NOLINT(google-explicit-constructor)
        : SharedBody(std::string(text))
    { }

    std::string_view view() const
    {
        return m_text ? std::string_view(*m_text) : std::string_view();
    }
    operator std::string_view() const { return view(); } // NOLINT(google-explicit-constructor)
    const char *data() const { return view().data(); }
    std::size_t size() const { return view().size(); }
    bool empty() const { return !m_text; }

    friend bool operator==(const SharedBody &a, std::string_view b) { return a.view() == b; }
    friend std::ostream &operator<<(std::ostream &stream, const SharedBody &body)
    {
        return stream << body.view();
    }

private:
    std::shared_ptr<const std::string> m_text;
};

} // namespace Lagoonbank::Http
