-- Toplina, Zagreb: services, budgets and client accounts.
begin;
create service grijac-llm kind = model;
create service kotlovnica-app kind = plain tokens_per_call = 5 repeatable = false;
commit;
create budget skole limit = 50000000;
begin;
create client_account skole key = "change-me" budget = skole priority = 2;
commit
