#pragma once

#include "operations/readcommand.h"

#include <optional>

namespace Lagoonbank::Operations {

/// `history [KIND NAME]`: lists the changes that are still in the log and their outcomes.
class HistoryCommand final : public ReadCommand
{
public:
    HistoryCommand(const Context &context, std::optional<Configuration::ObjectKey> key)
        : ReadCommand(context)
        , m_key(std::move(key))
    { }

protected:
    Report report() const override;

private:
    std::optional<Configuration::ObjectKey> m_key;
};

/// Formats one result as a line of the history.
std::string toText(const Configuration::ChangeResult &result);
Json toJson(const Configuration::ChangeResult &result);

} // namespace Lagoonbank::Operations
