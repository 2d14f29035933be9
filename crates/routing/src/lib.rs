//! Pure routing decisions, admission limits, retry budgets and drains.
