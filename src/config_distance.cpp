#include "config_func.h"

#include <algorithm>
#include <array>

namespace hawthorncroft {

namespace {

    /** One row of the distance matrix. Each row is calculated from the two rows above it. */
    using Row = std::vector<std::size_t>;

    std::size_t cellOf(std::string_view a, std::string_view b, std::size_t i, std::size_t j, const Row& above,
        const Row& twoAbove, std::size_t left)
    {
        std::size_t replaced = above[j - 1] + (a[i - 1] != b[j - 1]);
        std::size_t best = std::min({ above[j] + 1, left + 1, replaced });
        bool swapped = i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
        return swapped ? std::min(best, twoAbove[j - 2] + 1) : best;
    }

}

std::size_t editDistance(std::string_view a, std::string_view b, std::size_t limit)
{
    std::size_t difference = a.size() > b.size() ? a.size() - b.size() : b.size() - a.size();
    if (difference >= limit)
        return limit;
    Row twoAbove(b.size() + 1);
    Row above(b.size() + 1);
    Row row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        above[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
            row[j] = cellOf(a, b, i, j, above, twoAbove, row[j - 1]);
        if (*std::min_element(row.begin(), row.end()) >= limit)
            return limit;
        std::swap(twoAbove, above);
        std::swap(above, row);
    }
    return std::min(above[b.size()], limit);
}

} // namespace hawthorncroft
