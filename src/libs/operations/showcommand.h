#pragma once

#include "operations/readcommand.h"

#include <optional>
#include <string>

namespace Lagoonbank::Operations {

/// `show [KIND [NAME]]`: shows one object with its revision, or lists the objects.
class ShowCommand final : public ReadCommand
{
public:
    struct Options
    {
        std::optional<Schema::ObjectKind> kind;
        std::string name;
    };

    ShowCommand(const Context &context, Options options)
        : ReadCommand(context)
        , m_options(std::move(options))
    { }

protected:
    Report report() const override;

private:
    Report list() const;
    Report one(const Configuration::ObjectKey &key) const;

    Options m_options;
};

} // namespace Lagoonbank::Operations
