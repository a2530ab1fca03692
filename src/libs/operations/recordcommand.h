#pragma once

#include "operations/readcommand.h"

#include <string>

namespace Lagoonbank::Operations {

/// `status --record ID`: shows the outcome of one published change.
class RecordCommand final : public ReadCommand
{
public:
    RecordCommand(const Context &context, std::string record)
        : ReadCommand(context)
        , m_record(std::move(record))
    { }

protected:
    Report report() const override;

private:
    std::string m_record;
};

} // namespace Lagoonbank::Operations
