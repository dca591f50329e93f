// The small language of mappings: one value from the columns of a row.
grammar Expression;

whole : expr EOF ;

expr
  : WHEN cond+=expr THEN value+=expr (WHEN cond+=expr THEN value+=expr)* ELSE otherwise=expr # choice
  | NOT expr                                                # not
  | '-' expr                                                # minus
  | left=expr op=('*' | '/' | '%') right=expr               # arithmetic
  | left=expr op=('+' | '-') right=expr                     # arithmetic
  | left=expr op=('=' | '!=' | '<' | '<=' | '>' | '>=') right=expr # comparison
  | left=expr op=AND right=expr                             # logic
  | left=expr op=OR right=expr                              # logic
  | NAME '(' (expr (',' expr)*)? ')'                        # call
  | NAME                                                    # column
  | NUMBER                                                  # number
  | TEXT                                                    # text
  | '(' expr ')'                                            # inner
  ;

WHEN : 'when' ;
THEN : 'then' ;
ELSE : 'else' ;
AND  : 'and' ;
OR   : 'or' ;
NOT  : 'not' ;
NAME : [a-zA-Z_] [a-zA-Z0-9_.]* ;
NUMBER : [0-9]+ ('.' [0-9]+)? ([eE] [+-]? [0-9]+)? ;
TEXT : '"' (~["\\\r\n] | '\\' .)* '"' ;
SPACE : [ \t\r\n]+ -> skip ;
